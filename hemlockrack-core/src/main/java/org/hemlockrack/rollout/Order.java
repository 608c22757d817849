package org.hemlockrack.rollout;

import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ModelVersion;

/**
 * An order to a backend server.
 *
 * @param fence fencing number
 * @param kind what to do
 * @param backend the server
 * @param version the version
 */
public record Order(FencingToken fence, OrderKind kind, BackendId backend, ModelVersion version) {}
