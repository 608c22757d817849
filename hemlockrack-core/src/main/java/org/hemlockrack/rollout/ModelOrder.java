package org.hemlockrack.rollout;

import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ModelVersion;

/**
 * An order to a backend server to load or unload a model version.
 *
 * @param fencingToken fencing token
 * @param kind whether to load or to unload
 * @param backend the server
 * @param version the model version
 */
public record ModelOrder(
        FencingToken fencingToken, OrderKind kind, BackendId backend, ModelVersion version) {}
