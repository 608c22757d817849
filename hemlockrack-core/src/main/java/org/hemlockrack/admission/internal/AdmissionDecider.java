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
import org.hemlockrack.scheduling.ServiceTime;

/** Admission control that combines the ownership lease, the limits and the queue. */
public final class AdmissionDecider implements Admission {
    private static final long NO_INCARNATION = Long.MIN_VALUE;

    private final InstanceId mSelf;
    private final BackendId mBackend;
    private final long mOwnerEpoch;
    private final OwnershipLease mLease;
    private final ConcurrencyLimit mLimit;
    private final LoadBound mLoadBound = new LoadBound();
    private final RequestQueue mQueue;
    private final ForeignLoad mForeignLoad = new ForeignLoad();
    private final ServiceTime mServiceTime = new ServiceTime();
    private final Map<String, DispatchedRequest> mDispatched = new LinkedHashMap<>();
    private LatencyBaseline mLatencyBaseline = new LatencyBaseline();
    private AdmissionSettings mSettings;
    private AnnouncedState mAnnouncedState = AnnouncedState.READY;
    private boolean mZoneEvacuated;
    private boolean mIsOwner;
    private long mIncarnation = NO_INCARNATION;
    private long mLastSequence;
    private long mLastNanos;
    private int mReportedLimit;

    private static final class DispatchedRequest {
        private final Arrived mRequest;
        private final long mDispatchedNanos;
        private final long mIncarnation;
        private boolean mFirstTokenRecorded;

        private DispatchedRequest(Arrived request, long dispatchedNanos, long incarnation) {
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
            // Must precede the lease check, which would otherwise refuse the cancelled request.
            mQueue.remove(cancelled.requestId());
        }
        advanceTo(nowNanos, out);
        if (event instanceof Arrived arrived) {
            onArrived(nowNanos, arrived, out);
        } else if (event instanceof AdmissionEvent.FirstToken first) {
            onFirstToken(nowNanos, first, out);
        } else if (event instanceof Finished finished) {
            onFinished(nowNanos, finished, out);
        } else {
            onControlEvent(nowNanos, event, out);
        }
        processQueue(nowNanos, out);
    }

    @Override
    public void onTimer(long nowNanos, Consumer<? super AdmissionOutput> out) {
        advanceTo(nowNanos, out);
        processQueue(nowNanos, out);
    }

    @Override
    public long nextTimerNanos() {
        long next = mLease.nextTimerNanos(mLastNanos);
        if (mQueue.size() == 0) {
            return next;
        }
        return Math.min(next, mQueue.earliestDeadlineNanos() - expectedFirstTokenNanos());
    }

    @Override
    public boolean isOwner(long nowNanos) {
        return mLease.isHeld(nowNanos);
    }

    @Override
    public int inFlight() {
        return mDispatched.size();
    }

    @Override
    public int foreignLoad() {
        return mForeignLoad.value();
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

    private void onControlEvent(
            long nowNanos, AdmissionEvent event, Consumer<? super AdmissionOutput> out) {
        if (event instanceof Announced announced) {
            onAnnounced(nowNanos, announced, out);
        } else if (event instanceof AdmissionEvent.CacheCleared cleared) {
            onCacheCleared(nowNanos, cleared, out);
        } else if (event instanceof AdmissionEvent.LoadSummary load) {
            mLoadBound.updateMean(nowNanos, load.meanInFlight(), load.ageNanos());
        } else if (event instanceof AdmissionEvent.ZoneEvacuated) {
            mZoneEvacuated = true;
            refuseQueued(ErrorKind.NO_BACKEND, out);
        } else if (event instanceof AdmissionEvent.ZoneRestored) {
            mZoneEvacuated = false;
        } else if (event instanceof AdmissionEvent.HandoverReceived received) {
            onHandoverReceived(nowNanos, received.message(), out);
        } else if (event instanceof AdmissionEvent.HandoverOrdered ordered) {
            handOver(nowNanos, ordered.to(), out);
        } else if (event instanceof AdmissionEvent.SettingsChanged changed) {
            onSettingsChanged(changed.settings(), out);
        }
    }

    private void advanceTo(long nowNanos, Consumer<? super AdmissionOutput> out) {
        mLastNanos = nowNanos;
        mLease.recordActivity(nowNanos);
        updateOwner(nowNanos, out);
    }

    private void updateOwner(long nowNanos, Consumer<? super AdmissionOutput> out) {
        boolean held = mLease.isHeld(nowNanos);
        if (held != mIsOwner) {
            mIsOwner = held;
            out.accept(new AdmissionOutput.OwnershipChanged(held));
        }
        if (!mLease.isGranted(nowNanos)) {
            refuseQueued(ErrorKind.NOT_OWNER, out);
        }
    }

    private void onArrived(long nowNanos, Arrived request, Consumer<? super AdmissionOutput> out) {
        String id = request.requestId();
        if (mDispatched.containsKey(id) || mQueue.contains(id)) {
            return;
        }
        if (!mLease.isGranted(nowNanos)) {
            out.accept(new AdmissionOutput.Refuse(id, ErrorKind.NOT_OWNER, 0));
        } else if (!acceptsRequests()) {
            out.accept(new AdmissionOutput.Refuse(id, ErrorKind.NO_BACKEND, 0));
        } else if (mQueue.size() == 0 && canDispatch() && !missesDeadline(nowNanos, request, 0)) {
            dispatch(nowNanos, request, out);
        } else {
            enqueueOrRefuse(nowNanos, request, out);
        }
    }

    private void enqueueOrRefuse(
            long nowNanos, Arrived request, Consumer<? super AdmissionOutput> out) {
        long waitNanos = expectedWaitNanos(nowNanos, request);
        if (missesDeadline(nowNanos, request, waitNanos)) {
            refuse(request, ErrorKind.DEADLINE_UNREACHABLE, waitNanos, out);
        } else if (!request.waitMode().mayQueue()) {
            ErrorKind kind = mIsOwner ? ErrorKind.OVERLOADED : ErrorKind.NOT_READY;
            refuse(request, kind, waitNanos, out);
        } else {
            Arrived excess = mQueue.add(request);
            if (excess != null) {
                refuse(excess, ErrorKind.OVERLOADED, waitNanos, out);
            }
        }
    }

    private long expectedWaitNanos(long nowNanos, Arrived request) {
        int ahead = mQueue.countAhead(request.priority(), request.workspace());
        return mLease.remainingWaitNanos(nowNanos) + mServiceTime.estimateWaitNanos(ahead, bound());
    }

    private boolean missesDeadline(long nowNanos, Arrived request, long waitNanos) {
        return request.deadlineNanos() <= nowNanos + waitNanos + expectedFirstTokenNanos();
    }

    /**
     * Returns the expected time to first token, or 0 while nothing is in flight: an estimate so
     * high that every request is refused would get no new samples and would never be corrected.
     */
    private long expectedFirstTokenNanos() {
        return mDispatched.isEmpty() ? 0 : mLatencyBaseline.overallNanos();
    }

    private void onFirstToken(
            long nowNanos, AdmissionEvent.FirstToken event, Consumer<? super AdmissionOutput> out) {
        DispatchedRequest dispatched = mDispatched.get(event.requestId());
        if (dispatched != null) {
            addLatencySample(nowNanos, dispatched, event.ttftNanos(), out);
        }
    }

    /** Adds the time to first token and returns whether it shows a cold backend server. */
    private boolean addLatencySample(
            long nowNanos,
            DispatchedRequest dispatched,
            long ttftNanos,
            Consumer<? super AdmissionOutput> out) {
        if (dispatched.mFirstTokenRecorded
                || ttftNanos < 0
                || dispatched.mIncarnation != mIncarnation) {
            return false;
        }
        dispatched.mFirstTokenRecorded = true;
        int tokens = dispatched.mRequest.promptTokens();
        boolean jump = mLatencyBaseline.addAndTestJump(ttftNanos, tokens, mSettings.ramp());
        if (jump) {
            mLimit.reset(nowNanos);
            reportLimit(LimitReason.LATENCY_JUMP, out);
        }
        return jump;
    }

    private void onFinished(long nowNanos, Finished event, Consumer<? super AdmissionOutput> out) {
        DispatchedRequest dispatched = mDispatched.remove(event.requestId());
        if (dispatched == null) {
            return;
        }
        if (dispatched.mIncarnation != mIncarnation) {
            return;
        }
        boolean jump = addLatencySample(nowNanos, dispatched, event.ttftNanos(), out);
        if (event.outcome().isOverload()) {
            mLimit.recordFailure(nowNanos);
            reportLimit(LimitReason.FAILURE, out);
        }
        if (event.outcome().isGood()) {
            mServiceTime.add(nowNanos - dispatched.mDispatchedNanos);
        }
        if (event.outcome().isGood() && !jump && isWithinTarget(event.ttftNanos())) {
            mLimit.recordSuccess(nowNanos);
            reportLimit(LimitReason.EVIDENCE, out);
        }
    }

    private boolean isWithinTarget(long ttftNanos) {
        return ttftNanos >= 0 && ttftNanos <= mSettings.ramp().firstTokenTargetNanos();
    }

    private void onAnnounced(
            long nowNanos, Announced event, Consumer<? super AdmissionOutput> out) {
        if (event.incarnation() < mIncarnation) {
            return;
        }
        if (event.incarnation() > mIncarnation) {
            startIncarnation(nowNanos, event.incarnation(), out);
        }
        boolean wasOwner = mIsOwner;
        mLease.onAnnouncement(nowNanos, event);
        updateOwner(nowNanos, out);
        if (event.sequence() > mLastSequence) {
            mLastSequence = event.sequence();
            applyAnnouncement(nowNanos, event, mIsOwner && !wasOwner, out);
        }
        out.accept(new AdmissionOutput.Acknowledge(event.sequence(), mOwnerEpoch, nowNanos));
    }

    private void applyAnnouncement(
            long nowNanos,
            Announced event,
            boolean acquired,
            Consumer<? super AdmissionOutput> out) {
        if (acquired) {
            mForeignLoad.clearReports();
        }
        mForeignLoad.addReport(mLease.earliestSentNanos(nowNanos, event), event.inFlight());
        mLimit.setStatedLimit(event.statedLimit());
        reportLimit(LimitReason.STATED_LIMIT, out);
        mAnnouncedState = event.state();
        if (!mAnnouncedState.acceptsRequests()) {
            refuseQueued(ErrorKind.NO_BACKEND, out);
        }
    }

    private void startIncarnation(
            long nowNanos, long incarnation, Consumer<? super AdmissionOutput> out) {
        mIncarnation = incarnation;
        mLastSequence = 0;
        mForeignLoad.clearReports();
        mLatencyBaseline = new LatencyBaseline();
        mLimit.reset(nowNanos);
        reportLimit(LimitReason.NEW_INCARNATION, out);
    }

    private void onCacheCleared(
            long nowNanos,
            AdmissionEvent.CacheCleared event,
            Consumer<? super AdmissionOutput> out) {
        if (event.incarnation() < mIncarnation) {
            return;
        }
        mLimit.reset(nowNanos);
        reportLimit(LimitReason.CACHE_CLEARED, out);
    }

    private void onHandoverReceived(
            long nowNanos, HandoverMessage message, Consumer<? super AdmissionOutput> out) {
        if (!message.backend().equals(mBackend) || !message.to().equals(mSelf)) {
            return;
        }
        mForeignLoad.addHandover(message.inFlight().size() + message.foreignLoad());
        mLease.onHandover(message);
        updateOwner(nowNanos, out);
    }

    private void handOver(long nowNanos, InstanceId to, Consumer<? super AdmissionOutput> out) {
        long floor = mLease.release(nowNanos);
        updateOwner(nowNanos, out);
        List<String> ids = new ArrayList<>(mDispatched.keySet());
        HandoverMessage message =
                new HandoverMessage(
                        mBackend, mSelf, to, mIncarnation, floor, ids, mForeignLoad.value());
        out.accept(new AdmissionOutput.Handover(message));
    }

    private void onSettingsChanged(
            AdmissionSettings settings, Consumer<? super AdmissionOutput> out) {
        mSettings = settings;
        mLease.updateSettings(settings.lease());
        mLimit.updateSettings(settings.ramp());
        for (Arrived excess : mQueue.updateSettings(settings.queue())) {
            refuse(excess, ErrorKind.OVERLOADED, 0, out);
        }
    }

    private void processQueue(long nowNanos, Consumer<? super AdmissionOutput> out) {
        for (Arrived late : mQueue.removeExpired(nowNanos + expectedFirstTokenNanos())) {
            refuse(late, ErrorKind.DEADLINE_UNREACHABLE, expectedWaitNanos(nowNanos, late), out);
        }
        while (mQueue.size() > 0 && canDispatch()) {
            Arrived next = mQueue.take();
            if (next == null) {
                break;
            }
            dispatch(nowNanos, next, out);
        }
        mForeignLoad.recordOwnLoad(nowNanos, mDispatched.size());
    }

    private boolean canDispatch() {
        return mIsOwner && acceptsRequests() && mDispatched.size() + mForeignLoad.value() < bound();
    }

    private boolean acceptsRequests() {
        return mAnnouncedState.acceptsRequests() && !mZoneEvacuated;
    }

    private void dispatch(long nowNanos, Arrived request, Consumer<? super AdmissionOutput> out) {
        mDispatched.put(
                request.requestId(), new DispatchedRequest(request, nowNanos, mIncarnation));
        mLimit.recordLoad(mDispatched.size() + mForeignLoad.value());
        out.accept(new AdmissionOutput.Dispatch(request.requestId(), mLease.endNanos()));
    }

    private static void refuse(
            Arrived request,
            ErrorKind kind,
            long retryAfterNanos,
            Consumer<? super AdmissionOutput> out) {
        out.accept(new AdmissionOutput.Refuse(request.requestId(), kind, retryAfterNanos));
    }

    private void refuseQueued(ErrorKind kind, Consumer<? super AdmissionOutput> out) {
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
