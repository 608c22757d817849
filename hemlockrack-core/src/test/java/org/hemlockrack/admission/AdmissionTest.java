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

    /**
     * An owner that was paused beyond its lease must refuse its queue instead of dispatching it.
     */
    @Test
    void pausedOwnerRefusesItsQueue() {
        Admission admission = createOwner(FIRST);
        arrive(admission, "a", 60_000);
        arrive(admission, "b", 60_000);
        mOut.clear();
        mNow += 10_000 * MS;
        send(admission, new Finished("a", RequestOutcome.OK, 5 * MS));
        assertTrue(mOut.contains(new Refuse("b", ErrorKind.NOT_OWNER, 0)), mOut.toString());
        assertFalse(mOut.stream().anyMatch(Dispatch.class::isInstance));
    }

    /**
     * A request must not get two decisions: the event that cancels it can also find the lease
     * expired, which refuses all queued requests.
     */
    @Test
    void cancelledRequestIsNotRefused() {
        Admission admission = createOwner(FIRST);
        arrive(admission, "a", 60_000);
        arrive(admission, "b", 60_000);
        mNow += 10_000 * MS;
        mOut.clear();
        send(admission, new AdmissionEvent.Cancelled("b"));
        assertEquals(List.of(new AdmissionOutput.OwnershipChanged(false)), mOut);
    }

    /** After a handover the next owner must not wait, and must count the requests handed over. */
    @Test
    void handoverSkipsTheWaitAndCountsRequests() {
        Admission admission = createOwner(FIRST);
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

    /** A jump of the time to first token must reset the limit in the same event. */
    @Test
    void latencyJumpResetsLimitAtOnce() {
        Admission admission = createWarm();
        int before = admission.limit();
        assertTrue(before > 4, "limit " + before);
        arrive(admission, "slow", 60_000);
        mOut.clear();
        send(admission, new AdmissionEvent.FirstToken("slow", 400 * MS));
        assertEquals(1, admission.limit());
        assertEquals(List.of(new AdmissionOutput.LimitChanged(1, LimitReason.LATENCY_JUMP)), mOut);
    }

    /** The time to first token of a long prompt must not be treated as a jump. */
    @Test
    void longPromptIsNoJump() {
        Admission admission = createWarm();
        int before = admission.limit();
        send(admission, request("long", 60_000, 50_000));
        send(admission, new AdmissionEvent.FirstToken("long", 400 * MS));
        assertEquals(before, admission.limit());
    }

    /** A burst of errors must halve the limit only once, and the limit must recover. */
    @Test
    void errorsHalveTheLimitOnceAndItRecovers() {
        Admission admission = createWarm();
        int before = admission.limit();
        for (int i = 0; i < 4; i++) {
            arrive(admission, "e" + i, 60_000);
        }
        for (int i = 0; i < 4; i++) {
            send(admission, new Finished("e" + i, RequestOutcome.ERROR, -1));
        }
        assertEquals(before / 2, admission.limit());
        runAtLimit(admission, 5);
        assertTrue(admission.limit() > before / 2, "limit " + admission.limit());
        assertTrue(admission.limit() <= before / 2 + 5, "limit " + admission.limit());
    }

    /** A request that cannot be served before its deadline at the measured rate is not queued. */
    @Test
    void unreachableDeadlineIsRefusedAtOnce() {
        Admission admission = createWarm();
        for (int i = 0; i < 2 * admission.limit(); i++) {
            arrive(admission, "q" + i, 60_000);
        }
        mOut.clear();
        arrive(admission, "late", 101);
        Refuse refuse = (Refuse) mOut.get(0);
        assertEquals(ErrorKind.DEADLINE_UNREACHABLE, refuse.kind());
        assertTrue(refuse.retryAfterNanos() > 0);
    }

    private Admission createWarm() {
        Admission admission = createOwner(FIRST);
        send(admission, new AdmissionEvent.LoadSummary(100, 0));
        runAtLimit(admission, 4);
        return admission;
    }

    /** Keeps the load at the limit for some seconds, with answers after 100 ms. */
    private void runAtLimit(Admission admission, int seconds) {
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

    private Admission createOwner(InstanceId self) {
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
