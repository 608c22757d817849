package org.hemlockrack.placement;

import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;

/**
 * One model version on one backend server. A server with several models appears once for each.
 *
 * @param service the service; a plain service uses its own name as the model name
 * @param backend the backend server
 * @param incarnation changes when the server restarts, and its cache is then empty
 * @param modelVersion model and version
 * @param zone availability zone of the server
 * @param zoneOpen whether the zone accepts new requests
 * @param state state of the server
 * @param weight weight in the ranking relative to other servers, normally the server's stated
 *     limit; at least 0
 * @param permittedShare fraction of keys, 0 to 1, that may use this version; 1 unless the version
 *     is being rolled out; equal for all servers of a version
 * @param load requests in flight, from the last load summary
 * @param limit maximum requests in flight, from the last load summary
 * @param cacheTokens size of the prefix cache in tokens, 0 if not known
 * @param fillTokensPerSecond rate at which new prefixes enter the cache, 0 if not known
 */
public record Candidate(
        ServiceId service,
        BackendId backend,
        long incarnation,
        ModelVersion modelVersion,
        ZoneId zone,
        boolean zoneOpen,
        CandidateState state,
        double weight,
        double permittedShare,
        int load,
        int limit,
        long cacheTokens,
        double fillTokensPerSecond) {
    /** Validates the ranges of weight, share and fill rate. */
    public Candidate {
        requireRange("weight", weight, Double.MAX_VALUE);
        requireRange("permitted share", permittedShare, 1);
        requireRange("fill rate", fillTokensPerSecond, Double.MAX_VALUE);
    }

    /** Returns whether the server may receive new requests, regardless of its load. */
    public boolean isUsable() {
        return state.acceptsRequests() && zoneOpen && weight > 0;
    }

    private static void requireRange(String what, double value, double max) {
        if (value >= 0 && value <= max) {
            return;
        }
        throw HemlockrackException.of(
                ErrorKind.BAD_REQUEST, String.format("%s %s is out of range", what, value));
    }
}
