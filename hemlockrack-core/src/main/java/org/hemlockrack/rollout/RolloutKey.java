package org.hemlockrack.rollout;

import org.hemlockrack.model.ServiceId;

/**
 * Service and model of a roll-out; at most one roll-out per key runs at a time.
 *
 * @param service the service
 * @param model name of the model
 */
public record RolloutKey(ServiceId service, String model) {}
