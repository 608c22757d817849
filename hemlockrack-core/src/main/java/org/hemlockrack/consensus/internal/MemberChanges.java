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
 * Changes of the members by the leader, one at a time. A replica with a new folder replaces the old
 * one in three entries: it is added as a learner, after catch-up the old replica is removed, then
 * it becomes a voter. The removal comes first because the old replica is lost: with both as voters
 * the quorum would grow by a vote that nobody can give.
 */
final class MemberChanges {
    /** The design allows at most 7 voters. */
    private static final int MAX_VOTERS = 7;

    /** Bounds what announcements of unknown instances can make a leader store. */
    private static final int MAX_SEEN = 16;

    /** A learner that was silent this long, while its instance's voter answers, does not exist. */
    private static final int GHOST_TIMEOUTS = 8;

    private final Core mCore;
    private final Leading mLeading;
    private final Map<InstanceId, ReplicaRef> mSeen = new LinkedHashMap<>();
    private final Map<InstanceId, Long> mNonces = new LinkedHashMap<>();
    private long mNextNonce;

    MemberChanges(Core core, Leading leading) {
        mCore = core;
        mLeading = leading;
        // Distinct from the numbers of other leaderships for the first million.
        mNextNonce = core.term() << 20;
    }

    private boolean allowed() {
        return mLeading.established() && mCore.membershipIndex() <= mCore.mCommit;
    }

    /**
     * Notes a replica with an empty folder and adds it if it replaces a member.
     *
     * <p>Only the echo of the newest nonce for the instance counts. A late announcement of a
     * replica that was itself replaced would otherwise displace the living one.
     */
    void onHello(ReplicaRef replica, long nonce) {
        if (nonce == 0) {
            challenge(replica);
            return;
        }
        // A stale echo gets no answer: two echoes would otherwise outdate each other for ever.
        Long expected = mNonces.get(replica.instance());
        if (expected == null || expected != nonce) {
            return;
        }
        mSeen.put(replica.instance(), replica);
        Membership members = mCore.membership();
        if (!allowed() || members.member(replica.replicaId()).isPresent()) {
            return;
        }
        if (replica.instance().equals(mCore.mSelf.instance())) {
            return;
        }
        Optional<Member> learner = members.memberOf(replica.instance(), false);
        if (learner.isPresent()) {
            Member old = learner.get();
            append(
                    members.without(old.replica().replicaId())
                            .with(new Member(replica, old.kind())));
        } else if (members.memberOf(replica.instance(), true).isPresent()) {
            append(members.with(new Member(replica, MemberKind.REPLACEMENT)));
        }
    }

    private void challenge(ReplicaRef replica) {
        if (!mNonces.containsKey(replica.instance()) && mNonces.size() >= MAX_SEEN) {
            return;
        }
        mNextNonce++;
        mNonces.put(replica.instance(), mNextNonce);
        mCore.send(replica, new Message.HelloReply(false, mNextNonce));
    }

    /** Takes the next step of a replacement, if one is due. */
    void maintain() {
        for (Member member : mCore.membership().members()) {
            if (!allowed()) {
                return;
            }
            if (member.kind() == MemberKind.REPLACEMENT) {
                advance(member);
            }
        }
    }

    private void advance(Member learner) {
        Membership members = mCore.membership();
        Progress progress = mLeading.progress(learner.replica().replicaId());
        Optional<Member> old = members.memberOf(learner.replica().instance(), true);
        if (progress == null) {
            return;
        }
        if (old.isPresent() && isGhost(progress, old.get())) {
            append(members.without(learner.replica().replicaId()));
        } else if (!caughtUp(progress)) {
            return;
        } else if (old.isPresent()) {
            append(members.without(old.get().replica().replicaId()));
        } else {
            append(members.with(new Member(learner.replica(), MemberKind.VOTER)));
        }
    }

    private boolean isGhost(Progress learner, Member old) {
        Progress voter = mLeading.progress(old.replica().replicaId());
        boolean self = old.replica().replicaId() == mCore.selfId();
        boolean voterAnswers =
                self || voter != null && voter.mEverHeard && mLeading.heardWithin(voter, 1);
        return voterAnswers && !mLeading.heardWithin(learner, GHOST_TIMEOUTS);
    }

    private boolean caughtUp(Progress progress) {
        return progress.mEverHeard
                && mLeading.heardWithin(progress, 1)
                && progress.mMatch >= mCore.mCommit;
    }

    /** Appends an operator's change or refuses it. */
    void propose(ConsensusEvent.ChangeVoters event) {
        Membership next = allowed() ? next(event.change()) : null;
        if (next == null) {
            mCore.endProposal(event.ticket(), ProposalStatus.REFUSED);
            return;
        }
        mLeading.appendMembership(next, event.ticket());
    }

    private @Nullable Membership next(VoterChange change) {
        Membership members = mCore.membership();
        Optional<Member> voter = members.memberOf(change.instance(), true);
        Optional<Member> learner = members.memberOf(change.instance(), false);
        return switch (change.action()) {
            case ADD_LEARNER -> addLearner(members, change.instance());
            case PROMOTE -> voter.isPresent() ? null : promote(members, learner.orElse(null));
            case REMOVE -> remove(members, learner.or(() -> voter).orElse(null));
        };
    }

    private @Nullable Membership addLearner(Membership members, InstanceId instance) {
        ReplicaRef replica = mSeen.get(instance);
        boolean known =
                members.members().stream().anyMatch(m -> m.replica().instance().equals(instance));
        if (replica == null || known || members.members().size() >= Membership.MAX_MEMBERS) {
            return null;
        }
        return members.with(new Member(replica, MemberKind.LEARNER));
    }

    private @Nullable Membership promote(Membership members, @Nullable Member learner) {
        if (learner == null || members.voters().size() >= MAX_VOTERS) {
            return null;
        }
        Progress progress = mLeading.progress(learner.replica().replicaId());
        if (progress == null || !caughtUp(progress)) {
            return null;
        }
        return members.with(new Member(learner.replica(), MemberKind.VOTER));
    }

    private @Nullable Membership remove(Membership members, @Nullable Member member) {
        boolean last = members.voters().size() == 1;
        if (member == null || member.kind().canVote() && last) {
            return null;
        }
        return members.without(member.replica().replicaId());
    }

    private void append(Membership membership) {
        if (membership.members().size() <= Membership.MAX_MEMBERS) {
            mLeading.appendMembership(membership, null);
        }
    }
}
