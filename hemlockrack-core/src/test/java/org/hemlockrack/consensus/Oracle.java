package org.hemlockrack.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Records what the replicas of a simulation do and checks that it is consistent with one log. */
final class Oracle {
    private final Map<Long, Long> mCommandByIndex = new HashMap<>();
    private final Map<Long, Long> mIndexByCommand = new HashMap<>();
    private final Map<Long, Long> mTimeByIndex = new HashMap<>();
    private final Map<Long, Long> mLeaderByTerm = new HashMap<>();
    private final Map<String, Long> mVoteByVoterAndTerm = new HashMap<>();
    private final Set<Long> mRefusedCommands = new HashSet<>();
    final Map<Long, Long> mIndexByAcknowledgedCommand = new HashMap<>();
    final List<String> mViolations = new ArrayList<>();
    long mAcknowledgedIndex;
    long mRefusedAppendCount;

    private void check(boolean valid, String what) {
        if (!valid) {
            mViolations.add(what);
        }
    }

    void onApplied(long index, long time, long command) {
        Long known = mCommandByIndex.putIfAbsent(index, command);
        check(known == null || known == command, "two commands at index " + index);
        Long where = mIndexByCommand.putIfAbsent(command, index);
        check(where == null || where == index, "command " + command + " applied twice");
        Long stamp = mTimeByIndex.putIfAbsent(index, time);
        check(stamp == null || stamp == time, "two time stamps at index " + index);
        check(!mRefusedCommands.contains(command), "refused command " + command + " applied");
    }

    void onAcknowledged(long index, long command) {
        check(mCommandByIndex.get(index) == command, "acknowledged command is not at its index");
        mIndexByAcknowledgedCommand.put(command, index);
        mAcknowledgedIndex = Math.max(mAcknowledgedIndex, index);
    }

    void onRefused(long command) {
        mRefusedCommands.add(command);
        check(!mIndexByCommand.containsKey(command), "command " + command + " refused after apply");
    }

    void onLeaderElected(long cluster, long term, long replicaId) {
        Long other = mLeaderByTerm.putIfAbsent(term, replicaId);
        check(other == null || other == replicaId, "two leaders in term " + term);
    }

    void onPacketSent(Packet packet) {
        long voter = packet.from().replicaId();
        if (packet.body() instanceof Message.AppendReply reply && !reply.success()) {
            mRefusedAppendCount++;
        }
        if (packet.body() instanceof Message.Vote) {
            onVote(voter, packet.term(), voter);
        } else if (packet.body() instanceof Message.VoteReply reply && reply.granted()) {
            onVote(voter, packet.term(), packet.to().replicaId());
        }
    }

    private void onVote(long voter, long term, long candidate) {
        Long other = mVoteByVoterAndTerm.putIfAbsent(voter + " " + term, candidate);
        check(other == null || other == candidate, "two votes in term " + term);
    }

    void onRead(long acknowledgedBefore, long seen) {
        check(seen >= acknowledgedBefore, "read saw " + seen + " of " + acknowledgedBefore);
    }

    /** Checks that a final state contains all acknowledged commands in log order. */
    void checkFinalState(CommandListState state) {
        check(
                state.mCommands.containsAll(mIndexByAcknowledgedCommand.keySet()),
                "acknowledged command lost");
        long last = 0;
        long time = 0;
        for (long command : state.mCommands) {
            long index = mIndexByCommand.getOrDefault(command, -1L);
            check(index > last, "command " + command + " out of order");
            check(mTimeByIndex.getOrDefault(index, -1L) >= time, "time stamps decrease");
            time = mTimeByIndex.getOrDefault(index, -1L);
            last = index;
        }
    }
}
