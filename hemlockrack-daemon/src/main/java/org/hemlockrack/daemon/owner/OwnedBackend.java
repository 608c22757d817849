package org.hemlockrack.daemon.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hemlockrack.admission.Admission;
import org.hemlockrack.admission.AdmissionEvent;
import org.hemlockrack.admission.AdmissionOutput;
import org.hemlockrack.admission.AdmissionSettings;
import org.hemlockrack.admission.LimitReason;
import org.hemlockrack.admission.RequestOutcome;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpClient;
import org.hemlockrack.daemon.http.UpstreamCall;
import org.hemlockrack.daemon.loop.DeciderRunner;
import org.hemlockrack.daemon.loop.Loop;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.events.LogEvent;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/** One backend server that announces itself to this instance. Confined to the loop. */
final class OwnedBackend {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final OwnerService mService;
    private final Loop mLoop;
    private final Admission mAdmission;
    private final DeciderRunner<AdmissionEvent, AdmissionOutput> mRunner;
    private final Map<String, OwnedRequest> mRequests = new HashMap<>();

    private Announcement mLast;
    private AdmissionOutput.@Nullable Acknowledge mAcknowledge;
    private long mLastNanos;

    private OwnedBackend(OwnerService service, Loop loop, Admission admission, Announcement first) {
        mService = service;
        mLoop = loop;
        mAdmission = admission;
        mLast = first;
        mRunner = DeciderRunner.create(loop, admission, this::carryOut);
    }

    static OwnedBackend create(
            OwnerService service,
            Loop loop,
            InstanceId self,
            long ownerEpoch,
            long processStartNanos,
            AdmissionSettings settings,
            Announcement first) {
        Admission admission =
                Admission.create(settings, self, first.id(), ownerEpoch, processStartNanos);
        return new OwnedBackend(service, loop, admission, first);
    }

    Announcement last() {
        return mLast;
    }

    long lastNanos() {
        return mLastNanos;
    }

    Admission admission() {
        return mAdmission;
    }

    boolean isOwner() {
        return mAdmission.isOwner(mLoop.nowNanos());
    }

    /** Returns running and queued work; a mean without the queue would hide a surge. */
    int assignedWork() {
        return mAdmission.inFlight() + mAdmission.foreignLoad() + mAdmission.queueLength();
    }

    /** Returns the acknowledgement, or null if the announcement gave no right to admit. */
    AdmissionOutput.@Nullable Acknowledge announced(Announcement announcement) {
        mLast = announcement;
        mLastNanos = mLoop.nowNanos();
        mAcknowledge = null;
        post(announcement.toEvent());
        return mAcknowledge;
    }

    void post(AdmissionEvent event) {
        mRunner.post(event);
    }

    void arrived(OwnedRequest request) {
        ForwardingMetadata order = request.order();
        mRequests.put(order.requestId(), request);
        long deadlineNanos = mLoop.nowNanos() + order.firstByteMillis() * NANOS_PER_MILLI;
        post(
                new AdmissionEvent.Arrived(
                        order.requestId(),
                        order.workspace(),
                        order.priority(),
                        order.kind(),
                        deadlineNanos,
                        order.waitMode(),
                        0));
    }

    private void carryOut(AdmissionOutput output) {
        if (output instanceof AdmissionOutput.Dispatch dispatch) {
            OwnedRequest request = mRequests.get(dispatch.requestId());
            if (request != null) {
                request.dispatch(dispatch.validUntilNanos());
            }
            return;
        }
        if (output instanceof AdmissionOutput.Refuse refuse) {
            refuse(refuse.requestId(), refuse.kind(), refuse.retryAfterNanos());
            return;
        }
        if (output instanceof AdmissionOutput.Acknowledge acknowledge) {
            mAcknowledge = acknowledge;
            return;
        }
        if (output instanceof AdmissionOutput.Handover handover) {
            mService.handover(handover.message());
            return;
        }
        if (output instanceof AdmissionOutput.OwnershipChanged changed) {
            mService.ownershipChanged(this, changed.owner());
            return;
        }
        if (output instanceof AdmissionOutput.LimitChanged changed) {
            limitChanged(changed);
        }
    }

    private void limitChanged(AdmissionOutput.LimitChanged changed) {
        LimitReason reason = changed.reason();
        if (reason == LimitReason.LATENCY_JUMP || reason == LimitReason.CACHE_CLEARED) {
            mService.log(
                    LogEvent.BACKEND_TURNED_COLD,
                    "backend server %s: limit %d (%s)",
                    mLast.id(),
                    changed.limit(),
                    reason);
        }
    }

    private void refuse(String requestId, ErrorKind kind, long retryAfterNanos) {
        OwnedRequest request = mRequests.remove(requestId);
        if (request != null) {
            request.refuse(kind, retryAfterNanos);
        }
    }

    UpstreamCall send(OwnedRequest request) {
        ForwardingMetadata order = request.order();
        List<HeaderField> headers = new ArrayList<>();
        for (HeaderField field : request.call().headers()) {
            if (!ForwardingMetadata.isInternal(field)
                    && !field.is(ForwardingMetadata.REQUEST_ID)
                    && !field.is(ForwardingMetadata.ADMISSION_SEQUENCE)) {
                headers.add(field);
            }
        }
        headers.add(HeaderField.of(ForwardingMetadata.REQUEST_ID, order.requestId()));
        String sequence = Long.toString(mLast.sequence());
        headers.add(HeaderField.of(ForwardingMetadata.ADMISSION_SEQUENCE, sequence));
        HttpClient client = mService.client(order.kind());
        return client.send(
                mLast.address(),
                request.call().method(),
                request.call().target(),
                headers,
                request.call().body(),
                request);
    }

    void firstByte(String requestId, long ttftNanos) {
        mLoop.execute(() -> post(new AdmissionEvent.FirstToken(requestId, ttftNanos)));
    }

    void finished(String requestId, RequestOutcome outcome, long ttftNanos) {
        mLoop.execute(
                () -> {
                    mRequests.remove(requestId);
                    post(new AdmissionEvent.Finished(requestId, outcome, ttftNanos));
                });
    }

    void cancelled(OwnedRequest request) {
        mLoop.execute(
                () -> {
                    String requestId = request.order().requestId();
                    if (mRequests.remove(requestId, request)) {
                        request.abandon();
                    }
                });
    }

    boolean isIdle() {
        return mRequests.isEmpty();
    }

    void stop() {
        mRunner.stop();
    }
}
