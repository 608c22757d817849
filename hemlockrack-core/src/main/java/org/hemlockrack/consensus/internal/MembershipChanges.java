package org.hemlockrack.consensus.internal;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.hemlockrack.consensus.ConsensusEvent;
import org.hemlockrack.consensus.Member;
import org.hemlockrack.consensus.MemberKind;
import org.hemlockrack.consensus.Membership;
import org.hemlockrack.consensus.Message;
import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.consensus.ReplicaRef;
import org.hemlockrack.consensus.VoterChange;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * Membership changes of the leader, one at a time. A replica with a new data folder replaces the
 * old one of its instance in three entries: it is added as a non-voting replacement, the old
 * replica is removed once the new one has caught up, and the new one becomes a voter. The old
 * replica is removed before the promotion because its data is lost: with both as voters the quorum
 * would count a vote that can never be given.
 */
final class MembershipChanges {
    /** Most voters of a cluster. */
    private static final int MAX_VOTERS = 7;

    /** Bounds the memory that announcements of unknown instances can take on a leader. */
    private static final int MAX_ANNOUNCED = 16;

    /**
     * Election timeouts without a reply after which a replacement counts as gone, provided that the
     * voter of the same instance replies.
     */
    private static final int GONE_TIMEOUTS = 8;

    private final RaftState mState;
    private final Leadership mLeadership;
    private final Map<InstanceId, ReplicaRef> mAnnouncedReplicas = new LinkedHashMap<>();
    private final Map<InstanceId, Long> mNewestNonces = new LinkedHashMap<>();
    private long mNextNonce;

    MembershipChanges(RaftState state, Leadership leadership) {
        mState = state;
        mLeadership = leadership;
        // The first million nonces of each leadership differ from those of all others.
        mNextNonce = state.term() << 20;
    }

    private boolean isChangeAllowed() {
        return mLeadership.isEstablished() && mState.membershipIndex() <= mState.mCommitIndex;
    }

    /**
     * Handles the announcement of a replica without data: sends it a nonce or, once the replica has
     * echoed the nonce, records it and adds it if it replaces a member.
     *
     * <p>Only the echo of the newest nonce for the instance counts. Otherwise a delayed
     * announcement of a replica that was itself replaced would displace the running one.
     */
    void onHello(ReplicaRef replica, long nonce) {
        if (nonce == 0) {
            sendChallenge(replica);
            return;
        }
        // A stale echo gets no new nonce: two replicas of an instance would otherwise invalidate
        // each other's nonces for ever.
        Long expected = mNewestNonces.get(replica.instance());
        if (expected == null || expected != nonce) {
            return;
        }
        mAnnouncedReplicas.put(replica.instance(), replica);
        Membership members = mState.membership();
        if (!isChangeAllowed() || members.member(replica.replicaId()).isPresent()) {
            return;
        }
        if (replica.instance().equals(mState.mSelf.instance())) {
            return;
        }
        Optional<Member> learner = members.memberOf(replica.instance(), false);
        if (learner.isPresent()) {
            Member old = learner.get();
            appendIfNotFull(
                    members.without(old.replica().replicaId())
                            .with(new Member(replica, old.kind())));
        } else if (members.memberOf(replica.instance(), true).isPresent()) {
            appendIfNotFull(members.with(new Member(replica, MemberKind.REPLACEMENT)));
        }
    }

    private void sendChallenge(ReplicaRef replica) {
        if (!mNewestNonces.containsKey(replica.instance())
                && mNewestNonces.size() >= MAX_ANNOUNCED) {
            return;
        }
        mNextNonce++;
        mNewestNonces.put(replica.instance(), mNextNonce);
        mState.send(replica, new Message.HelloReply(false, mNextNonce));
    }

    /** Appends the next membership of each replacement in progress, if its condition is met. */
    void advanceReplacements() {
        for (Member member : mState.membership().members()) {
            if (!isChangeAllowed()) {
                return;
            }
            if (member.kind() == MemberKind.REPLACEMENT) {
                advanceReplacement(member);
            }
        }
    }

    private void advanceReplacement(Member replacement) {
        Membership members = mState.membership();
        MemberProgress progress = mLeadership.progress(replacement.replica().replicaId());
        Optional<Member> old = members.memberOf(replacement.replica().instance(), true);
        if (progress == null) {
            return;
        }
        if (old.isPresent() && isGone(progress, old.get())) {
            appendIfNotFull(members.without(replacement.replica().replicaId()));
        } else if (!isCaughtUp(progress)) {
            return;
        } else if (old.isPresent()) {
            appendIfNotFull(members.without(old.get().replica().replicaId()));
        } else {
            appendIfNotFull(members.with(new Member(replacement.replica(), MemberKind.VOTER)));
        }
    }

    private boolean isGone(MemberProgress replacement, Member old) {
        MemberProgress voter = mLeadership.progress(old.replica().replicaId());
        boolean isSelf = old.replica().replicaId() == mState.selfId();
        boolean voterAnswers =
                isSelf || voter != null && voter.mEverHeard && mLeadership.wasHeardWithin(voter, 1);
        return voterAnswers && !mLeadership.wasHeardWithin(replacement, GONE_TIMEOUTS);
    }

    private boolean isCaughtUp(MemberProgress progress) {
        return progress.mEverHeard
                && mLeadership.wasHeardWithin(progress, 1)
                && progress.mMatchIndex >= mState.mCommitIndex;
    }

    /**
     * Appends a requested change. Refuses it if it is not allowed at present or does not fit the
     * current members.
     */
    void propose(ConsensusEvent.ChangeVoters event) {
        Membership next = isChangeAllowed() ? membershipAfter(event.change()) : null;
        if (next == null) {
            mState.endProposal(event.ticket(), ProposalStatus.REFUSED);
            return;
        }
        mLeadership.appendMembership(next, event.ticket());
    }

    private @Nullable Membership membershipAfter(VoterChange change) {
        Membership members = mState.membership();
        Optional<Member> voter = members.memberOf(change.instance(), true);
        Optional<Member> learner = members.memberOf(change.instance(), false);
        return switch (change.action()) {
            case ADD_LEARNER -> addLearner(members, change.instance());
            case PROMOTE -> voter.isPresent() ? null : promote(members, learner.orElse(null));
            case REMOVE -> remove(members, learner.or(() -> voter).orElse(null));
        };
    }

    private @Nullable Membership addLearner(Membership members, InstanceId instance) {
        ReplicaRef replica = mAnnouncedReplicas.get(instance);
        boolean isMember =
                members.members().stream().anyMatch(m -> m.replica().instance().equals(instance));
        if (replica == null || isMember || members.members().size() >= Membership.MAX_MEMBERS) {
            return null;
        }
        return members.with(new Member(replica, MemberKind.LEARNER));
    }

    private @Nullable Membership promote(Membership members, @Nullable Member learner) {
        if (learner == null || members.voters().size() >= MAX_VOTERS) {
            return null;
        }
        MemberProgress progress = mLeadership.progress(learner.replica().replicaId());
        if (progress == null || !isCaughtUp(progress)) {
            return null;
        }
        return members.with(new Member(learner.replica(), MemberKind.VOTER));
    }

    private @Nullable Membership remove(Membership members, @Nullable Member member) {
        boolean isLastVoter = members.voters().size() == 1;
        if (member == null || member.kind().canVote() && isLastVoter) {
            return null;
        }
        return members.without(member.replica().replicaId());
    }

    private void appendIfNotFull(Membership membership) {
        if (membership.members().size() <= Membership.MAX_MEMBERS) {
            mLeadership.appendMembership(membership, null);
        }
    }
}
