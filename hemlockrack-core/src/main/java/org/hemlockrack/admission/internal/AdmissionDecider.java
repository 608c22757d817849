package org.hemlockrack.admission.internal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.hemlockrack.admission.Admission;
import org.hemlockrack.admission.AdmissionEvent;
import org.hemlockrack.admission.AdmissionEvent.Announced;
import org.hemlockrack.admission.AdmissionEvent.Arrived;
import org.hemlockrack.admission.AdmissionEvent.Finished;
import org.hemlockrack.admission.AdmissionOutput;
import org.hemlockrack.admission.AdmissionSettings;
import org.hemlockrack.admission.AnnouncedState;
import org.hemlockrack.admission.HandoverMessage;
import org.hemlockrack.admission.LimitReason;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;

/** Combines lease, limit, bound and queue. */
public final class AdmissionDecider implements Admission {
    private static final long NO_INCARNATION = Long.MIN_VALUE;

    private final InstanceId mSelf;
    private final BackendId mBackend;
    private final long mOwnerEpoch;
    private final OwnershipLease mLease;
    private final ConcurrencyLimit mLimit;
    private final LoadBound mLoadBound = new LoadBound();
    private final RequestQueue mQueue;
    private final ForeignLoad mForeign = new ForeignLoad();
    private final ServiceTime mServiceTime = new ServiceTime();
    private final Map<String, Running> mRunning = new LinkedHashMap<>();
    private LatencyBaseline mLatency = new LatencyBaseline();
    private AdmissionSettings mSettings;
    private AnnouncedState mState = AnnouncedState.READY;
    private boolean mZoneOut;
    private boolean mOwner;
    private long mIncarnation = NO_INCARNATION;
    private long mSequence;
    private long mLastNanos;
    private int mReportedLimit;

    private static final class Running {
        private final Arrived mRequest;
        private final long mDispatchedNanos;
        private final long mIncarnation;
        private boolean mFirstTokenSeen;

        private Running(Arrived request, long dispatchedNanos, long incarnation) {
            mRequest = request;
            mDispatchedNanos = dispatchedNanos;
            mIncarnation = incarnation;
        }
    }

    /**
     * Creates the decider; see {@link Admission#create}.
     *
     * @param settings the settings
     * @param self this instance
     * @param backend the backend server
     * @param ownerEpoch differs between any two processes of this instance
     * @param processStartNanos when the process began to accept announcements
     */
    public AdmissionDecider(
            AdmissionSettings settings,
            InstanceId self,
            BackendId backend,
            long ownerEpoch,
            long processStartNanos) {
        mSettings = settings;
        mSelf = self;
        mBackend = backend;
        mOwnerEpoch = ownerEpoch;
        mLease = OwnershipLease.create(settings.lease(), ownerEpoch, processStartNanos);
        mLimit = ConcurrencyLimit.create(settings.ramp());
        mQueue = RequestQueue.create(settings.queue());
        mReportedLimit = mLimit.value();
    }

    @Override
    public void onEvent(
            long nowNanos, AdmissionEvent event, Consumer<? super AdmissionOutput> out) {
        if (event instanceof AdmissionEvent.Cancelled cancelled) {
            // Before the lease check, which could refuse the request in the event that drops it.
            mQueue.remove(cancelled.requestId());
        }
        begin(nowNanos, out);
        if (event instanceof Arrived arrived) {
            arrived(nowNanos, arrived, out);
        } else if (event instanceof AdmissionEvent.FirstToken first) {
            firstToken(nowNanos, first, out);
        } else if (event instanceof Finished finished) {
            finished(nowNanos, finished, out);
        } else {
            control(nowNanos, event, out);
        }
        pump(nowNanos, out);
    }

    @Override
    public void onTimer(long nowNanos, Consumer<? super AdmissionOutput> out) {
        begin(nowNanos, out);
        pump(nowNanos, out);
    }

    @Override
    public long nextTimerNanos() {
        long next = mLease.nextTimerNanos(mLastNanos);
        if (mQueue.size() == 0) {
            return next;
        }
        return Math.min(next, mQueue.earliestDeadlineNanos() - firstTokenNanos());
    }

    @Override
    public boolean isOwner(long nowNanos) {
        return mLease.isHeld(nowNanos);
    }

    @Override
    public int inFlight() {
        return mRunning.size();
    }

    @Override
    public int foreignLoad() {
        return mForeign.value();
    }

    @Override
    public int limit() {
        return mLimit.value();
    }

    @Override
    public int bound() {
        return Math.min(mLimit.value(), mLoadBound.value(mSettings.loadMultiple()));
    }

    @Override
    public int queueLength() {
        return mQueue.size();
    }

    private void control(
            long nowNanos, AdmissionEvent event, Consumer<? super AdmissionOutput> out) {
        if (event instanceof Announced announced) {
            announced(nowNanos, announced, out);
        } else if (event instanceof AdmissionEvent.CacheCleared cleared) {
            cacheCleared(nowNanos, cleared, out);
        } else if (event instanceof AdmissionEvent.LoadSummary load) {
            mLoadBound.summary(nowNanos, load.meanInFlight(), load.ageNanos());
        } else if (event instanceof AdmissionEvent.ZoneEvacuated) {
            mZoneOut = true;
            refuseAll(ErrorKind.NO_BACKEND, out);
        } else if (event instanceof AdmissionEvent.ZoneRestored) {
            mZoneOut = false;
        } else if (event instanceof AdmissionEvent.HandoverReceived received) {
            handoverReceived(nowNanos, received.message(), out);
        } else if (event instanceof AdmissionEvent.HandoverOrdered ordered) {
            handOver(nowNanos, ordered.to(), out);
        } else if (event instanceof AdmissionEvent.SettingsChanged changed) {
            settingsChanged(changed.settings(), out);
        }
    }

    private void begin(long nowNanos, Consumer<? super AdmissionOutput> out) {
        mLastNanos = nowNanos;
        mLease.seen(nowNanos);
        updateOwner(nowNanos, out);
    }

    private void updateOwner(long nowNanos, Consumer<? super AdmissionOutput> out) {
        boolean held = mLease.isHeld(nowNanos);
        if (held != mOwner) {
            mOwner = held;
            out.accept(new AdmissionOutput.OwnershipChanged(held));
        }
        if (!mLease.isInSight(nowNanos)) {
            refuseAll(ErrorKind.NOT_OWNER, out);
        }
    }

    private void arrived(long nowNanos, Arrived request, Consumer<? super AdmissionOutput> out) {
        String id = request.requestId();
        if (mRunning.containsKey(id) || mQueue.contains(id)) {
            return;
        }
        if (!mLease.isInSight(nowNanos)) {
            out.accept(new AdmissionOutput.Refuse(id, ErrorKind.NOT_OWNER, 0));
        } else if (!takesWork()) {
            out.accept(new AdmissionOutput.Refuse(id, ErrorKind.NO_BACKEND, 0));
        } else if (mQueue.size() == 0 && canDispatch() && !isTooLate(nowNanos, request, 0)) {
            dispatch(nowNanos, request, out);
        } else {
            waitOrRefuse(nowNanos, request, out);
        }
    }

    private void waitOrRefuse(
            long nowNanos, Arrived request, Consumer<? super AdmissionOutput> out) {
        long waitNanos = waitNanos(nowNanos, request);
        if (isTooLate(nowNanos, request, waitNanos)) {
            refuse(request, ErrorKind.DEADLINE_UNREACHABLE, waitNanos, out);
        } else if (!request.waitMode().mayQueue()) {
            ErrorKind kind = mOwner ? ErrorKind.OVERLOADED : ErrorKind.NOT_READY;
            refuse(request, kind, waitNanos, out);
        } else {
            Arrived excess = mQueue.add(request);
            if (excess != null) {
                refuse(excess, ErrorKind.OVERLOADED, waitNanos, out);
            }
        }
    }

    private long waitNanos(long nowNanos, Arrived request) {
        int ahead = mQueue.ahead(request.priority(), request.workspace());
        return mLease.remainingWaitNanos(nowNanos) + mServiceTime.waitNanos(ahead, bound());
    }

    private boolean isTooLate(long nowNanos, Arrived request, long waitNanos) {
        return request.deadlineNanos() <= nowNanos + waitNanos + firstTokenNanos();
    }

    /**
     * Returns the expected time to first token, 0 while nothing is in flight: an estimate that
     * refuses every request would never be corrected.
     */
    private long firstTokenNanos() {
        return mRunning.isEmpty() ? 0 : mLatency.overallNanos();
    }

    private void firstToken(
            long nowNanos, AdmissionEvent.FirstToken event, Consumer<? super AdmissionOutput> out) {
        Running running = mRunning.get(event.requestId());
        if (running != null) {
            latencySample(nowNanos, running, event.ttftNanos(), out);
        }
    }

    /** Returns whether the sample shows a cold backend server. */
    private boolean latencySample(
            long nowNanos, Running running, long ttftNanos, Consumer<? super AdmissionOutput> out) {
        if (running.mFirstTokenSeen || ttftNanos < 0 || running.mIncarnation != mIncarnation) {
            return false;
        }
        running.mFirstTokenSeen = true;
        int tokens = running.mRequest.promptTokens();
        boolean jump = mLatency.addAndTestJump(ttftNanos, tokens, mSettings.ramp());
        if (jump) {
            mLimit.reset(nowNanos);
            reportLimit(LimitReason.LATENCY_JUMP, out);
        }
        return jump;
    }

    private void finished(long nowNanos, Finished event, Consumer<? super AdmissionOutput> out) {
        Running running = mRunning.remove(event.requestId());
        if (running == null) {
            return;
        }
        if (running.mIncarnation != mIncarnation) {
            return;
        }
        boolean jump = latencySample(nowNanos, running, event.ttftNanos(), out);
        if (event.outcome().isOverload()) {
            mLimit.failed(nowNanos);
            reportLimit(LimitReason.FAILURE, out);
        }
        if (event.outcome().isGood()) {
            mServiceTime.add(nowNanos - running.mDispatchedNanos);
        }
        if (event.outcome().isGood() && !jump && isWithinPromise(event.ttftNanos())) {
            mLimit.good(nowNanos);
            reportLimit(LimitReason.EVIDENCE, out);
        }
    }

    private boolean isWithinPromise(long ttftNanos) {
        return ttftNanos >= 0 && ttftNanos <= mSettings.ramp().firstTokenTargetNanos();
    }

    private void announced(long nowNanos, Announced event, Consumer<? super AdmissionOutput> out) {
        if (event.incarnation() < mIncarnation) {
            return;
        }
        if (event.incarnation() > mIncarnation) {
            startIncarnation(nowNanos, event.incarnation(), out);
        }
        boolean wasOwner = mOwner;
        mLease.announced(nowNanos, event);
        updateOwner(nowNanos, out);
        if (event.sequence() > mSequence) {
            mSequence = event.sequence();
            report(nowNanos, event, mOwner && !wasOwner, out);
        }
        out.accept(new AdmissionOutput.Acknowledge(event.sequence(), mOwnerEpoch, nowNanos));
    }

    private void report(
            long nowNanos,
            Announced event,
            boolean ownerNow,
            Consumer<? super AdmissionOutput> out) {
        if (ownerNow) {
            mForeign.restart();
        }
        mForeign.report(mLease.earliestSentNanos(nowNanos, event), event.inFlight());
        mLimit.stated(event.statedLimit());
        reportLimit(LimitReason.STATED_LIMIT, out);
        mState = event.state();
        if (!mState.takesWork()) {
            refuseAll(ErrorKind.NO_BACKEND, out);
        }
    }

    private void startIncarnation(
            long nowNanos, long incarnation, Consumer<? super AdmissionOutput> out) {
        mIncarnation = incarnation;
        mSequence = 0;
        mForeign.restart();
        mLatency = new LatencyBaseline();
        mLimit.reset(nowNanos);
        reportLimit(LimitReason.NEW_INCARNATION, out);
    }

    private void cacheCleared(
            long nowNanos,
            AdmissionEvent.CacheCleared event,
            Consumer<? super AdmissionOutput> out) {
        if (event.incarnation() < mIncarnation) {
            return;
        }
        mLimit.reset(nowNanos);
        reportLimit(LimitReason.CACHE_CLEARED, out);
    }

    private void handoverReceived(
            long nowNanos, HandoverMessage message, Consumer<? super AdmissionOutput> out) {
        if (!message.backend().equals(mBackend) || !message.to().equals(mSelf)) {
            return;
        }
        mForeign.handedOver(message.inFlight().size() + message.foreignLoad());
        mLease.handoverReceived(message);
        updateOwner(nowNanos, out);
    }

    private void handOver(long nowNanos, InstanceId to, Consumer<? super AdmissionOutput> out) {
        long floor = mLease.release(nowNanos);
        updateOwner(nowNanos, out);
        List<String> ids = new ArrayList<>(mRunning.keySet());
        HandoverMessage message =
                new HandoverMessage(
                        mBackend, mSelf, to, mIncarnation, floor, ids, mForeign.value());
        out.accept(new AdmissionOutput.Handover(message));
    }

    private void settingsChanged(
            AdmissionSettings settings, Consumer<? super AdmissionOutput> out) {
        mSettings = settings;
        mLease.settings(settings.lease());
        mLimit.settings(settings.ramp());
        for (Arrived excess : mQueue.settings(settings.queue())) {
            refuse(excess, ErrorKind.OVERLOADED, 0, out);
        }
    }

    private void pump(long nowNanos, Consumer<? super AdmissionOutput> out) {
        for (Arrived late : mQueue.removeDue(nowNanos + firstTokenNanos())) {
            refuse(late, ErrorKind.DEADLINE_UNREACHABLE, waitNanos(nowNanos, late), out);
        }
        while (mQueue.size() > 0 && canDispatch()) {
            Arrived next = mQueue.take();
            if (next == null) {
                break;
            }
            dispatch(nowNanos, next, out);
        }
        mForeign.own(nowNanos, mRunning.size());
    }

    private boolean canDispatch() {
        return mOwner && takesWork() && mRunning.size() + mForeign.value() < bound();
    }

    private boolean takesWork() {
        return mState.takesWork() && !mZoneOut;
    }

    private void dispatch(long nowNanos, Arrived request, Consumer<? super AdmissionOutput> out) {
        mRunning.put(request.requestId(), new Running(request, nowNanos, mIncarnation));
        mLimit.load(mRunning.size() + mForeign.value());
        out.accept(new AdmissionOutput.Dispatch(request.requestId(), mLease.endNanos()));
    }

    private static void refuse(
            Arrived request,
            ErrorKind kind,
            long retryAfterNanos,
            Consumer<? super AdmissionOutput> out) {
        out.accept(new AdmissionOutput.Refuse(request.requestId(), kind, retryAfterNanos));
    }

    private void refuseAll(ErrorKind kind, Consumer<? super AdmissionOutput> out) {
        for (Arrived request : mQueue.removeAll()) {
            refuse(request, kind, 0, out);
        }
    }

    private void reportLimit(LimitReason reason, Consumer<? super AdmissionOutput> out) {
        if (mLimit.value() == mReportedLimit) {
            return;
        }
        mReportedLimit = mLimit.value();
        out.accept(new AdmissionOutput.LimitChanged(mReportedLimit, reason));
    }
}
