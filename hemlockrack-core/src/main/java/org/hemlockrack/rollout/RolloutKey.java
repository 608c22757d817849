package org.hemlockrack.rollout;

import org.hemlockrack.model.ServiceId;

/**
 * What one roll-out at a time may change.
 *
 * @param service the service
 * @param model name of the model
 */
public record RolloutKey(ServiceId service, String model) {}
