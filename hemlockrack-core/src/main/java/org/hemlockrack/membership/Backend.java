package org.hemlockrack.membership;

import java.util.List;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.Names;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;

/**
 * One entry of the directory of backend servers.
 *
 * @param id the server
 * @param service the service it belongs to
 * @param models model versions that it has loaded, at most {@link #MAX_MODELS}
 * @param zone its availability zone
 * @param address host and port
 * @param state its state
 * @param limit maximum number of requests in flight that it accepts
 * @param checksFencing whether it rejects orders with outdated fencing tokens
 * @param owner the instance that admits requests to it
 * @param version the server's incarnation and the revision of this entry
 */
public record Backend(
        BackendId id,
        ServiceId service,
        List<ModelVersion> models,
        ZoneId zone,
        String address,
        BackendState state,
        int limit,
        boolean checksFencing,
        InstanceId owner,
        Version version) {
    /** Maximum number of model versions of one server; bounds the size of an entry on the wire. */
    public static final int MAX_MODELS = 8;

    /** Rejects invalid names and too many models. */
    public Backend {
        models = List.copyOf(models);
        Names.requireValid("backend address", address);
        if (models.size() > MAX_MODELS || limit < 0) {
            String text =
                    String.format(
                            "backend server \"%s\" has %d model versions (at most %d) and limit %d",
                            id, models.size(), MAX_MODELS, limit);
            throw HemlockrackException.of(ErrorKind.BAD_REQUEST, text);
        }
    }

    /** Returns a copy with another version. */
    public Backend withVersion(Version newVersion) {
        return new Backend(
                id, service, models, zone, address, state, limit, checksFencing, owner, newVersion);
    }

    /** Returns a copy with another state. */
    public Backend withState(BackendState newState) {
        return new Backend(
                id, service, models, zone, address, newState, limit, checksFencing, owner, version);
    }
}
