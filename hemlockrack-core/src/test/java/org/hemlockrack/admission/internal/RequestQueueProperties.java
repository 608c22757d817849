package org.hemlockrack.admission.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.hemlockrack.admission.AdmissionEvent.Arrived;
import org.hemlockrack.admission.AdmissionSettings;
import org.hemlockrack.admission.WaitMode;
import org.hemlockrack.model.Priority;
import org.hemlockrack.model.RequestKind;
import org.hemlockrack.model.WorkspaceId;

class RequestQueueProperties {
    private static final AdmissionSettings.Queue UNBOUNDED =
            new AdmissionSettings.Queue(9_999, 9_999);

    /** No starvation: a class with queued requests gets its share by weight, minus one request. */
    @Property(tries = 200)
    void queuedClassesGetTheirShare(@ForAll @IntRange(min = 13, max = 400) int takes) {
        assertTrue(matchesShares(backlog(400), takes), "takes " + takes);
    }

    /** The share property must fail for strict priority. */
    @Example
    void strictPriorityIsDetected() {
        List<Arrived> all = new ArrayList<>();
        for (Priority priority : Priority.values()) {
            for (int i = 0; i < 400; i++) {
                all.add(request("x" + priority + i, "w", priority, i));
            }
        }
        all.sort(Comparator.comparing(Arrived::priority));
        assertFalse(matchesShares(() -> all.remove(0), 100));
    }

    /** A surge of a lower class must not delay a higher class by more than the lower weights. */
    @Property(tries = 300)
    void surgeDoesNotDelayHigherClass(
            @ForAll @IntRange(min = 1, max = 500) int surge,
            @ForAll @IntRange(max = 100) int takesBefore) {
        RequestQueue queue = RequestQueue.create(UNBOUNDED);
        for (int i = 0; i < surge; i++) {
            queue.add(request("low" + i, "surging", Priority.LOW, 0));
        }
        for (int i = 0; i < Math.min(takesBefore, surge - 1); i++) {
            queue.take();
        }
        queue.add(request("high", "calm", Priority.HIGH, Long.MAX_VALUE));
        assertEquals(0, position(queue::take, "high"));
    }

    /**
     * A surge of one workspace must not delay another of its class by more than a round of the
     * round robin.
     */
    @Property(tries = 300)
    void surgeDoesNotDelayOtherWorkspace(@ForAll @IntRange(min = 1, max = 500) int surge) {
        RequestQueue queue = RequestQueue.create(UNBOUNDED);
        for (int i = 0; i < surge; i++) {
            queue.add(request("s" + i, "surging", Priority.NORMAL, 0));
        }
        queue.add(request("calm", "calm", Priority.NORMAL, Long.MAX_VALUE));
        assertTrue(position(queue::take, "calm") <= 8);
    }

    /** Both surge properties must fail for a first-in, first-out queue. */
    @Example
    void fifoQueueIsDetected() {
        ArrayDeque<Arrived> queue = new ArrayDeque<>();
        for (int i = 0; i < 100; i++) {
            queue.add(request("s" + i, "surging", Priority.NORMAL, 0));
        }
        queue.add(request("calm", "calm", Priority.HIGH, Long.MAX_VALUE));
        assertFalse(position(queue::remove, "calm") <= 8);
    }

    /** A full queue drops the newest request of the lowest class. */
    @Example
    void fullQueueDropsNewestOfLowestClass() {
        RequestQueue queue = RequestQueue.create(new AdmissionSettings.Queue(3, 3));
        queue.add(request("low1", "a", Priority.LOW, 1));
        queue.add(request("low2", "a", Priority.LOW, 2));
        queue.add(request("normal", "b", Priority.NORMAL, 3));
        assertEquals("low2", queue.add(request("high", "c", Priority.HIGH, 4)).requestId());
        assertEquals("low3", queue.add(request("low3", "c", Priority.LOW, 0)).requestId());
        assertEquals(3, queue.size());
    }

    private static int position(Supplier<Arrived> queue, String id) {
        int position = 0;
        while (!queue.get().requestId().equals(id)) {
            position++;
        }
        return position;
    }

    private static Supplier<Arrived> backlog(int perClass) {
        RequestQueue queue = RequestQueue.create(UNBOUNDED);
        for (Priority priority : Priority.values()) {
            for (int i = 0; i < perClass; i++) {
                queue.add(request("x" + priority + i, "w" + i % 3, priority, i));
            }
        }
        return queue::take;
    }

    private static boolean matchesShares(Supplier<Arrived> queue, int takes) {
        int[] taken = new int[Priority.values().length];
        for (int i = 0; i < takes; i++) {
            taken[queue.get().priority().ordinal()]++;
        }
        for (Priority priority : Priority.values()) {
            int share = takes * priority.shareWeight() / RequestQueue.totalWeight();
            if (taken[priority.ordinal()] < share - 1) {
                return false;
            }
        }
        return true;
    }

    private static Arrived request(String id, String workspace, Priority priority, long deadline) {
        return new Arrived(
                id,
                WorkspaceId.of(workspace),
                priority,
                RequestKind.CHAT,
                deadline,
                WaitMode.MAY_QUEUE,
                0);
    }
}
