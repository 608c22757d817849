package org.hemlockrack.duties;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import org.hemlockrack.wire.DutyCommandData;
import org.hemlockrack.wire.DutyHolderData;
import org.hemlockrack.wire.DutyStateData;
import org.hemlockrack.wire.UsageWindowData;
import org.jspecify.annotations.Nullable;

/**
 * The replicated state of the duties: holders and tokens, and the usage windows whose counts are
 * fixed. Immutable.
 */
public final class DutyState {
    /** Windows that are kept; at 5 s each they cover an outage of the platform of 160 s. */
    public static final int MAX_WINDOWS = 32;

    /** The state before any duty was taken. */
    public static final DutyState EMPTY =
            new DutyState(Map.of(), Collections.emptyNavigableMap(), Set.of(), Long.MIN_VALUE);

    private final Map<Duty, DutyHolder> mHolders;
    private final NavigableMap<Long, UsageWindow> mWindows;
    private final Set<Long> mReported;
    private final long mDroppedWindow;

    private DutyState(
            Map<Duty, DutyHolder> holders,
            NavigableMap<Long, UsageWindow> windows,
            Set<Long> reported,
            long droppedWindow) {
        mHolders = holders;
        mWindows = windows;
        mReported = reported;
        mDroppedWindow = droppedWindow;
    }

    /** Returns the holder of a duty, or null if nobody ever took it. */
    public @Nullable DutyHolder holder(Duty duty) {
        return mHolders.get(duty);
    }

    /** Returns the token of the holder of a duty, 0 if nobody ever took it. */
    public long token(Duty duty) {
        DutyHolder holder = mHolders.get(duty);
        return holder == null ? 0 : holder.token();
    }

    /** Returns the windows whose counts are fixed, oldest first. */
    public List<UsageWindow> windows() {
        return List.copyOf(mWindows.values());
    }

    /** Returns the fixed counts of a window, or null if there are none. */
    public @Nullable UsageWindow window(long id) {
        return mWindows.get(id);
    }

    /** Returns whether the platform has accepted the report of a window. */
    public boolean isReported(long id) {
        return mReported.contains(id);
    }

    /** Returns whether counts of a window can still be fixed. */
    public boolean isOpen(long id) {
        return id > mDroppedWindow && !mWindows.containsKey(id);
    }

    /** Returns the newest window that the platform has accepted, or -1. */
    public long newestReported() {
        return mReported.stream().mapToLong(Long::longValue).max().orElse(-1);
    }

    /**
     * Returns the state after a process took a duty.
     *
     * @param duty the duty
     * @param machine name of the controller
     * @param incarnation identifies the process
     * @param expectedToken token of the holder before; after any other holder the order is
     *     outdated, or was applied before
     * @return the state, this one if the order is outdated
     */
    public DutyState withHolder(Duty duty, String machine, String incarnation, long expectedToken) {
        if (token(duty) != expectedToken) {
            return this;
        }
        Map<Duty, DutyHolder> holders = new EnumMap<>(Duty.class);
        holders.putAll(mHolders);
        holders.put(duty, new DutyHolder(expectedToken + 1, machine, incarnation));
        return new DutyState(holders, mWindows, mReported, mDroppedWindow);
    }

    /**
     * Returns the state after the counts of a window were fixed. The first counts win.
     *
     * @param window the window
     * @return the state, this one if the counts are fixed already or were dropped
     */
    public DutyState withWindow(UsageWindow window) {
        if (!isOpen(window.id())) {
            return this;
        }
        NavigableMap<Long, UsageWindow> windows = new TreeMap<>(mWindows);
        windows.put(window.id(), window);
        long dropped = mDroppedWindow;
        Set<Long> reported = new HashSet<>(mReported);
        while (windows.size() > MAX_WINDOWS) {
            dropped = windows.pollFirstEntry().getKey();
            reported.remove(dropped);
        }
        return new DutyState(mHolders, windows, reported, dropped);
    }

    /**
     * Returns the state after the platform accepted the report of a window.
     *
     * @param id the window
     * @return the state, this one if the window is not kept
     */
    public DutyState withReported(long id) {
        if (!mWindows.containsKey(id) || mReported.contains(id)) {
            return this;
        }
        Set<Long> reported = new HashSet<>(mReported);
        reported.add(id);
        return new DutyState(mHolders, mWindows, reported, mDroppedWindow);
    }

    /**
     * Returns the state after a command. All replicas ignore what is not complete.
     *
     * @param command the command
     * @return the state, this one if the command has no effect
     */
    public DutyState after(DutyCommandData command) {
        DutyState next = this;
        DutyHolderData holder = command.getHolder();
        Duty duty = holder == null || holder.getDuty() == null ? null : Duty.of(holder.getDuty());
        if (duty != null && holder.getMachine() != null && holder.getIncarnation() != null) {
            next =
                    next.withHolder(
                            duty,
                            holder.getMachine(),
                            holder.getIncarnation(),
                            command.getExpectedToken());
        }
        UsageWindowData window = command.getWindow();
        if (window != null && window.getCounts() != null) {
            next = next.withWindow(UsageWindow.of(window));
        }
        return command.isSetReportedWindow()
                ? next.withReported(command.getReportedWindow())
                : next;
    }

    /** Returns the state as Thrift data. */
    public DutyStateData toData() {
        List<DutyHolderData> holders = new ArrayList<>();
        mHolders.forEach((duty, holder) -> holders.add(holder.toData(duty)));
        List<UsageWindowData> windows = new ArrayList<>();
        mWindows.values().forEach(window -> windows.add(window.toData()));
        return new DutyStateData(holders, windows, mReported, mDroppedWindow);
    }

    /**
     * Returns the state of Thrift data.
     *
     * @param data the data, or null in snapshots of versions without duties
     */
    public static DutyState of(@Nullable DutyStateData data) {
        if (data == null) {
            return EMPTY;
        }
        Map<Duty, DutyHolder> holders = new EnumMap<>(Duty.class);
        for (DutyHolderData holder : data.getHolders()) {
            Duty duty = Duty.of(holder.getDuty());
            if (duty != null) {
                holders.put(duty, DutyHolder.of(holder));
            }
        }
        NavigableMap<Long, UsageWindow> windows = new TreeMap<>();
        for (UsageWindowData window : data.getWindows()) {
            windows.put(window.getWindowId(), UsageWindow.of(window));
        }
        return new DutyState(
                holders,
                windows,
                new HashSet<>(data.getReportedWindows()),
                data.getDroppedWindow());
    }

    @Override
    public boolean equals(@Nullable Object other) {
        return other instanceof DutyState && toData().equals(((DutyState) other).toData());
    }

    @Override
    public int hashCode() {
        return toData().hashCode();
    }
}
