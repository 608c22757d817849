package org.hemlockrack.consensus.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.EntryKind;
import org.hemlockrack.consensus.LogFormation;
import org.hemlockrack.consensus.Member;
import org.hemlockrack.consensus.MemberKind;
import org.hemlockrack.consensus.Membership;
import org.hemlockrack.consensus.Message;
import org.hemlockrack.consensus.Packet;
import org.hemlockrack.consensus.ReplicaRef;
import org.hemlockrack.model.InstanceId;

/**
 * Bootstraps a replica without data: it announces itself to the bootstrap voters until a leader
 * adds it or until enough of them report that they have no data either. Then an election among
 * these decides which of them forms the log.
 *
 * <p>The electorate is all bootstrap voters, those that are missing included, and the winner's
 * first entry names them as voters. So two logs that are formed at the same time cannot both
 * commit: a majority of the same instances must vote for each, a replica with data does not vote
 * for one without, and the terms order the two logs like uncommitted entries of any two leaders. A
 * replica that had data has a new replica id, which no electorate contains.
 */
final class ClusterBootstrap {
    /** Time that bootstrap voters get to report while only some of them have done so. */
    private static final long MISSING_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** Time by which each bootstrap voter lets the one before it in the list go first. */
    private static final long RANK_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private static final long NEVER = Long.MAX_VALUE;

    private final RaftState mState;
    private final Map<InstanceId, Long> mEmptyReplicas = new HashMap<>();
    private List<InstanceId> mContacts;
    private long mAnnouncementDueNanos;
    private long mFormationDueNanos = NEVER;
    private boolean mAttempted;

    ClusterBootstrap(RaftState state) {
        mState = state;
        mContacts = state.mSettings.bootstrapVoters();
        mAnnouncementDueNanos = state.mNowNanos;
        updateFormationDue();
    }

    void setContacts(List<InstanceId> contacts) {
        mContacts = contacts;
    }

    long nextTimerNanos() {
        return Math.min(mAnnouncementDueNanos, attemptDueNanos());
    }

    /**
     * Announces this replica if due. Returns whether it should start an election of the replica
     * that forms the log.
     */
    boolean onTimer() {
        if (mState.mNowNanos >= mAnnouncementDueNanos) {
            mAnnouncementDueNanos = mState.mNowNanos + mState.mSettings.electionTimeoutNanos();
            announce();
        }
        if (mState.mNowNanos < attemptDueNanos()) {
            return false;
        }
        mAttempted = true;
        mState.mFormation = createFormation();
        return true;
    }

    /** Later attempts, and those after a vote for another replica, wait for the election timer. */
    private long attemptDueNanos() {
        boolean waits = mAttempted || mState.mHardState.vote() != 0;
        return waits && mFormationDueNanos != NEVER
                ? Math.max(mFormationDueNanos, mState.mElectionDeadlineNanos)
                : mFormationDueNanos;
    }

    /**
     * Announces this replica to its contacts and the members that it knows, and to the bootstrap
     * voters as long as it may form a log with them. A replica with a log does so too while it has
     * no contact with a leader: the entry that added it may have been lost, or it may have been
     * removed while it was unreachable.
     */
    void announce() {
        Set<InstanceId> instances = new LinkedHashSet<>(mContacts);
        if (canForm()) {
            instances.addAll(mState.mSettings.bootstrapVoters());
        }
        mState.membership().members().forEach(each -> instances.add(each.replica().instance()));
        for (InstanceId instance : instances) {
            if (!instance.equals(mState.mSelf.instance())) {
                mState.send(ReplicaRef.of(instance, ReplicaRef.ANY), new Message.Hello(0));
            }
        }
    }

    /** Returns whether this replica may take part in the formation of a log. */
    boolean canForm() {
        return mState.isLogEmpty() && mState.mSettings.formation() != LogFormation.NEVER;
    }

    /** Handles the answer to an announcement. */
    void onReply(Packet packet, Message.HelloReply reply) {
        boolean isActiveVoter =
                mState.membership().isVoter(mState.selfId()) && mState.hasRecentLeaderContact();
        if (reply.nonce() != 0 && !isActiveVoter) {
            mState.send(packet.from(), new Message.Hello(reply.nonce()));
        }
        InstanceId sender = packet.from().instance();
        if (!mState.mSettings.bootstrapVoters().contains(sender)) {
            return;
        }
        int knownBefore = mEmptyReplicas.size();
        if (reply.empty()) {
            mEmptyReplicas.put(sender, packet.from().replicaId());
        } else {
            mEmptyReplicas.remove(sender);
        }
        if (mEmptyReplicas.size() != knownBefore) {
            updateFormationDue();
        }
    }

    private void updateFormationDue() {
        List<InstanceId> listed = mState.mSettings.bootstrapVoters();
        int rank = listed.indexOf(mState.mSelf.instance());
        int known = 1 + mEmptyReplicas.size();
        int required = mState.mSettings.formation().requiredReplicas(listed.size());
        if (rank < 0 || known < required) {
            mFormationDueNanos = NEVER;
            return;
        }
        long rankDelayNanos = rank * RANK_DELAY_NANOS;
        if (known == listed.size()) {
            mFormationDueNanos = mState.mNowNanos + rankDelayNanos;
        } else if (mFormationDueNanos == NEVER) {
            mFormationDueNanos = mState.mNowNanos + MISSING_WAIT_NANOS + rankDelayNanos;
        }
    }

    private Membership createFormation() {
        List<Member> members = new ArrayList<>();
        // A missing instance gets an id that no replica has, so that its vote cannot be given. The
        // leader replaces it once a replica of that instance announces itself.
        long missingId = 0;
        for (InstanceId instance : mState.mSettings.bootstrapVoters()) {
            missingId--;
            long replicaId =
                    instance.equals(mState.mSelf.instance())
                            ? mState.selfId()
                            : mEmptyReplicas.getOrDefault(instance, missingId);
            members.add(new Member(ReplicaRef.of(instance, replicaId), MemberKind.VOTER));
        }
        return new Membership(mState.selfId(), members);
    }

    /** Appends the first entry of the log that this replica was elected to form. */
    void appendFormation() {
        byte[] data = WireCodec.encodeMembership(mState.mFormation);
        Entry entry = new Entry(1, mState.term(), EntryKind.MEMBERSHIP, 0, data);
        mState.append(entry);
        mState.persistEntries(List.of(entry));
    }
}
