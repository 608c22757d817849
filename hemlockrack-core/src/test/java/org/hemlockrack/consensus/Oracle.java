package org.hemlockrack.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Checks what all replicas of one history do against what a single log would allow. */
final class Oracle {
    private final Map<Long, Long> mCommandAt = new HashMap<>();
    private final Map<Long, Long> mIndexOf = new HashMap<>();
    private final Map<Long, Long> mTimeAt = new HashMap<>();
    private final Map<Long, Long> mLeaderOf = new HashMap<>();
    private final Map<String, Long> mVoteOf = new HashMap<>();
    private final Set<Long> mRefused = new HashSet<>();
    final Map<Long, Long> mAcknowledged = new HashMap<>();
    final List<String> mViolations = new ArrayList<>();
    long mAcknowledgedIndex;
    long mRefusedAppends;

    private void check(boolean valid, String what) {
        if (!valid) {
            mViolations.add(what);
        }
    }

    void applied(long index, long time, long command) {
        Long known = mCommandAt.putIfAbsent(index, command);
        check(known == null || known == command, "two commands at index " + index);
        Long where = mIndexOf.putIfAbsent(command, index);
        check(where == null || where == index, "command " + command + " applied twice");
        Long stamp = mTimeAt.putIfAbsent(index, time);
        check(stamp == null || stamp == time, "two time stamps at index " + index);
        check(!mRefused.contains(command), "refused command " + command + " applied");
    }

    void acknowledged(long index, long command) {
        check(mCommandAt.get(index) == command, "acknowledged command is not at its index");
        mAcknowledged.put(command, index);
        mAcknowledgedIndex = Math.max(mAcknowledgedIndex, index);
    }

    void refused(long command) {
        mRefused.add(command);
        check(!mIndexOf.containsKey(command), "command " + command + " refused after apply");
    }

    void led(long cluster, long term, long replicaId) {
        Long other = mLeaderOf.putIfAbsent(term, replicaId);
        check(other == null || other == replicaId, "two leaders in term " + term);
    }

    void sent(Packet packet) {
        long voter = packet.from().replicaId();
        if (packet.body() instanceof Message.AppendReply reply && !reply.success()) {
            mRefusedAppends++;
        }
        if (packet.body() instanceof Message.Vote) {
            voted(voter, packet.term(), voter);
        } else if (packet.body() instanceof Message.VoteReply reply && reply.granted()) {
            voted(voter, packet.term(), packet.to().replicaId());
        }
    }

    private void voted(long voter, long term, long candidate) {
        Long other = mVoteOf.putIfAbsent(voter + " " + term, candidate);
        check(other == null || other == candidate, "two votes in term " + term);
    }

    void read(long acknowledgedBefore, long seen) {
        check(seen >= acknowledgedBefore, "read saw " + seen + " of " + acknowledgedBefore);
    }

    /** Checks a final state: it holds all acknowledged commands, in log order. */
    void holds(ListState state) {
        check(state.mCommands.containsAll(mAcknowledged.keySet()), "acknowledged command lost");
        long last = 0;
        long time = 0;
        for (long command : state.mCommands) {
            long index = mIndexOf.getOrDefault(command, -1L);
            check(index > last, "command " + command + " out of order");
            check(mTimeAt.getOrDefault(index, -1L) >= time, "time stamps decrease");
            time = mTimeAt.getOrDefault(index, -1L);
            last = index;
        }
    }
}
