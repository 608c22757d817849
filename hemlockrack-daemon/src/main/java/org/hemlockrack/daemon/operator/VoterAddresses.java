package org.hemlockrack.daemon.operator;

import java.util.Map;
import java.util.stream.Collectors;
import org.hemlockrack.model.InstanceId;

/** Addresses of the voters in the settings of this instance, for error messages to operators. */
public final class VoterAddresses {
    private final Map<InstanceId, String> mPeerAddresses;

    private VoterAddresses(Map<InstanceId, String> peerAddresses) {
        mPeerAddresses = peerAddresses;
    }

    /**
     * Creates the addresses.
     *
     * @param peerAddresses the listed voters and their peer addresses
     * @return the addresses
     */
    public static VoterAddresses of(Map<InstanceId, String> peerAddresses) {
        return new VoterAddresses(Map.copyOf(peerAddresses));
    }

    /** Returns the error message for a request that only an instance with the log can serve. */
    String noLogMessage() {
        if (mPeerAddresses.isEmpty()) {
            return "this instance holds no replicated log, and its settings list no voters";
        }
        String list =
                mPeerAddresses.keySet().stream()
                        .sorted()
                        .map(this::describe)
                        .collect(Collectors.joining(", "));
        return "this instance holds no replicated log; use the operator port of a voter: " + list;
    }

    /**
     * Describes an instance by its id and IP address, without its operator port, which the settings
     * of other instances do not list.
     */
    String describe(InstanceId instance) {
        String peer = mPeerAddresses.get(instance);
        if (peer == null) {
            return instance.value();
        }
        return instance + " on " + peer.substring(0, peer.lastIndexOf(':'));
    }
}
