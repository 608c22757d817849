package org.hemlockrack.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.hemlockrack.admission.AdmissionEvent.Announced;
import org.hemlockrack.admission.AdmissionEvent.Arrived;
import org.hemlockrack.admission.AdmissionEvent.Finished;
import org.hemlockrack.admission.AdmissionOutput.Dispatch;
import org.hemlockrack.admission.AdmissionOutput.Refuse;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.Priority;
import org.hemlockrack.model.RequestKind;
import org.hemlockrack.model.WorkspaceId;
import org.junit.jupiter.api.Test;

class AdmissionTest {
    private static final long MS = 1_000_000L;
    private static final InstanceId FIRST = InstanceId.of("first");
    private static final InstanceId SECOND = InstanceId.of("second");

    private final List<AdmissionOutput> mOut = new ArrayList<>();
    private long mNow;
    private long mSequence;

    /** Guards against a stopped owner that dispatches what it finds queued when it continues. */
    @Test
    void stoppedOwnerRefusesItsQueue() {
        Admission admission = owner(FIRST);
        arrive(admission, "a", 60_000);
        arrive(admission, "b", 60_000);
        mOut.clear();
        mNow += 10_000 * MS;
        send(admission, new Finished("a", RequestOutcome.OK, 5 * MS));
        assertTrue(mOut.contains(new Refuse("b", ErrorKind.NOT_OWNER, 0)), mOut.toString());
        assertFalse(mOut.stream().anyMatch(Dispatch.class::isInstance));
    }

    /**
     * Guards against two decisions: the event that cancelled a request also ended the lease and
     * refused it (found with seed 8481235 of the model, before its step weights changed).
     */
    @Test
    void cancelledRequestIsNotRefused() {
        Admission admission = owner(FIRST);
        arrive(admission, "a", 60_000);
        arrive(admission, "b", 60_000);
        mNow += 10_000 * MS;
        mOut.clear();
        send(admission, new AdmissionEvent.Cancelled("b"));
        assertEquals(List.of(new AdmissionOutput.OwnershipChanged(false)), mOut);
    }

    /** Guards against a next owner that waits although it was handed the work, or ignores it. */
    @Test
    void handoverSkipsTheWaitAndCountsTheWork() {
        Admission admission = owner(FIRST);
        arrive(admission, "a", 60_000);
        mOut.clear();
        send(admission, new AdmissionEvent.HandoverOrdered(SECOND));
        HandoverMessage message =
                mOut.stream()
                        .filter(AdmissionOutput.Handover.class::isInstance)
                        .map(o -> ((AdmissionOutput.Handover) o).message())
                        .findFirst()
                        .orElseThrow();
        assertEquals(List.of("a"), message.inFlight());
        Admission next = create(SECOND);
        PreviousOwner previous = new PreviousOwner(FIRST, 100 * MS, mSequence);
        announce(next, previous, 1, new LeaseEcho(1, mNow, 0));
        assertFalse(next.isOwner(mNow));
        send(next, new AdmissionEvent.HandoverReceived(message));
        assertTrue(next.isOwner(mNow));
        assertEquals(1, next.foreignLoad());
        mOut.clear();
        arrive(next, "b", 60_000);
        assertFalse(mOut.stream().anyMatch(Dispatch.class::isInstance), "limit 1 is used up");
    }

    /** Guards against a limit that falls later than the event that shows the jump. */
    @Test
    void latencyJumpResetsWithinTheEvent() {
        Admission admission = warm();
        int before = admission.limit();
        assertTrue(before > 4, "limit " + before);
        arrive(admission, "slow", 60_000);
        mOut.clear();
        send(admission, new AdmissionEvent.FirstToken("slow", 400 * MS));
        assertEquals(1, admission.limit());
        assertEquals(List.of(new AdmissionOutput.LimitChanged(1, LimitReason.LATENCY_JUMP)), mOut);
    }

    /** Guards against a long prompt that looks like a cold backend server. */
    @Test
    void longPromptIsNoJump() {
        Admission admission = warm();
        int before = admission.limit();
        send(admission, request("long", 60_000, 50_000));
        send(admission, new AdmissionEvent.FirstToken("long", 400 * MS));
        assertEquals(before, admission.limit());
    }

    /** Guards against a burst of errors that counts more than once, and against no recovery. */
    @Test
    void errorsHalveTheLimitOnceAndItRecovers() {
        Admission admission = warm();
        int before = admission.limit();
        for (int i = 0; i < 4; i++) {
            arrive(admission, "e" + i, 60_000);
        }
        for (int i = 0; i < 4; i++) {
            send(admission, new Finished("e" + i, RequestOutcome.ERROR, -1));
        }
        assertEquals(before / 2, admission.limit());
        load(admission, 5);
        assertTrue(admission.limit() > before / 2, "limit " + admission.limit());
        assertTrue(admission.limit() <= before / 2 + 5, "limit " + admission.limit());
    }

    /** Guards against queueing a request that the measured rate cannot serve in time. */
    @Test
    void unreachableDeadlineIsRefusedAtOnce() {
        Admission admission = warm();
        for (int i = 0; i < 2 * admission.limit(); i++) {
            arrive(admission, "q" + i, 60_000);
        }
        mOut.clear();
        arrive(admission, "late", 101);
        Refuse refuse = (Refuse) mOut.get(0);
        assertEquals(ErrorKind.DEADLINE_UNREACHABLE, refuse.kind());
        assertTrue(refuse.retryAfterNanos() > 0);
    }

    private Admission warm() {
        Admission admission = owner(FIRST);
        send(admission, new AdmissionEvent.LoadSummary(100, 0));
        load(admission, 4);
        return admission;
    }

    /** Keeps the limit used for some seconds, with answers after 100 ms. */
    private void load(Admission admission, int seconds) {
        for (int i = 0; i < 10 * seconds; i++) {
            int count = admission.limit();
            for (int j = 0; j < count; j++) {
                arrive(admission, "w" + mNow + "-" + j, 60_000);
            }
            String prefix = "w" + mNow + "-";
            mNow += 100 * MS;
            announce(admission, PreviousOwner.none(1L << 50), count, new LeaseEcho(1, mNow, 0));
            for (int j = 0; j < count; j++) {
                send(admission, new Finished(prefix + j, RequestOutcome.OK, 100 * MS));
            }
        }
    }

    private Admission owner(InstanceId self) {
        Admission admission = create(self);
        announce(admission, PreviousOwner.none(1L << 50), 0, new LeaseEcho(1, mNow, 0));
        assertTrue(admission.isOwner(mNow));
        return admission;
    }

    private static Admission create(InstanceId self) {
        return Admission.create(
                AdmissionSettings.defaults(), self, BackendId.of("b"), 1, -1L << 40);
    }

    private void announce(Admission to, PreviousOwner previous, int load, LeaseEcho echo) {
        send(to, new Announced(1, 64, load, AnnouncedState.READY, ++mSequence, previous, echo));
    }

    private void arrive(Admission admission, String id, long withinMillis) {
        send(admission, request(id, withinMillis, 0));
    }

    private Arrived request(String id, long withinMillis, int tokens) {
        return new Arrived(
                id,
                WorkspaceId.of("w"),
                Priority.NORMAL,
                RequestKind.CHAT,
                mNow + withinMillis * MS,
                WaitMode.MAY_QUEUE,
                tokens);
    }

    private void send(Admission admission, AdmissionEvent event) {
        admission.onEvent(mNow, event, mOut::add);
    }
}
