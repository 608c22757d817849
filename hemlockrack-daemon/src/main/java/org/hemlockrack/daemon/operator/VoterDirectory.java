package org.hemlockrack.daemon.operator;

import java.util.Map;
import java.util.stream.Collectors;
import org.hemlockrack.model.InstanceId;

/** Tells operators where the voters are, from the settings of this instance. */
public final class VoterDirectory {
    private final Map<InstanceId, String> mPeerAddresses;

    private VoterDirectory(Map<InstanceId, String> peerAddresses) {
        mPeerAddresses = peerAddresses;
    }

    /**
     * Creates a directory.
     *
     * @param peerAddresses the listed voters and their peer addresses
     * @return the directory
     */
    public static VoterDirectory of(Map<InstanceId, String> peerAddresses) {
        return new VoterDirectory(Map.copyOf(peerAddresses));
    }

    /** Returns what to tell an operator who asked an instance without the log for its content. */
    String noLogHint() {
        if (mPeerAddresses.isEmpty()) {
            return "this instance holds no replicated log, and its settings list no voters";
        }
        String list =
                mPeerAddresses.keySet().stream()
                        .sorted()
                        .map(this::describe)
                        .collect(Collectors.joining(", "));
        return "this instance holds no replicated log; ask the operator port of a voter: " + list;
    }

    /**
     * Describes an instance by its id and IP address. Operator ports are not known to other
     * instances.
     */
    String describe(InstanceId instance) {
        String peer = mPeerAddresses.get(instance);
        if (peer == null) {
            return instance.value();
        }
        return instance + " on " + peer.substring(0, peer.lastIndexOf(':'));
    }
}
