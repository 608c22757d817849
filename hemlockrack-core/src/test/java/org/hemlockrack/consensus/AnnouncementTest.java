package org.hemlockrack.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hemlockrack.model.InstanceId;
import org.junit.jupiter.api.Test;

/** Announcements of a new replica whose first seeds are gone. */
class AnnouncementTest {
    private static final int VOTERS = 3;

    private final ClusterSimulation mSimulation =
            new ClusterSimulation(1, VOTERS, 2, Variant.CORRECT, Set.of());

    private void advance(long millis) {
        mSimulation.advance(mSimulation.mNowNanos + mSimulation.millisToNanos(millis));
    }

    private Optional<MemberKind> kindOfNewReplica(SimulatedInstance replica) {
        SimulatedInstance leader = mSimulation.leader();
        leader.receive(
                new ConsensusEvent.ChangeVoters(
                        -1, new VoterChange(VoterChange.Action.ADD_LEARNER, replica.mId)));
        advance(200);
        return leader.consensus().membership().memberOf(replica.mId, false).map(Member::kind);
    }

    /** Guards against a new replica that nobody adds, although its seeds were exchanged. */
    @Test
    void replicaAnnouncesItselfToExchangedSeeds() {
        SimulatedInstance added = mSimulation.mInstances.get(VOTERS);
        SimulatedInstance gone = mSimulation.mInstances.get(VOTERS + 1);
        gone.remove();
        added.remove();
        advance(5_000);
        added.setSeeds(List.of(gone.mId));
        added.startNew();
        advance(5_000);
        assertEquals(Optional.empty(), kindOfNewReplica(added));

        List<InstanceId> seeds = List.of(mSimulation.mBootstrapVoters.get(0));
        added.receive(new ConsensusEvent.ContactsChanged(seeds));
        advance(2_000);
        assertEquals(Optional.of(MemberKind.LEARNER), kindOfNewReplica(added));
    }
}
