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
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.events.LogEvent;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/** One backend server that sends its announcements to this instance. Confined to the loop. */
final class OwnedBackend {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final OwnerService mService;
    private final EventLoop mLoop;
    private final Admission mAdmission;
    private final DeciderRunner<AdmissionEvent, AdmissionOutput> mRunner;
    private final Map<String, OwnedRequest> mRequests = new HashMap<>();

    private Announcement mLastAnnouncement;
    private AdmissionOutput.@Nullable Acknowledge mAcknowledge;
    private long mLastAnnouncementNanos;

    private OwnedBackend(
            OwnerService service, EventLoop loop, Admission admission, Announcement first) {
        mService = service;
        mLoop = loop;
        mAdmission = admission;
        mLastAnnouncement = first;
        mRunner = DeciderRunner.create(loop, admission, this::execute);
    }

    static OwnedBackend create(
            OwnerService service,
            EventLoop loop,
            InstanceId self,
            long ownerEpoch,
            long processStartNanos,
            AdmissionSettings settings,
            Announcement first) {
        Admission admission =
                Admission.create(settings, self, first.id(), ownerEpoch, processStartNanos);
        return new OwnedBackend(service, loop, admission, first);
    }

    Announcement lastAnnouncement() {
        return mLastAnnouncement;
    }

    long lastAnnouncementNanos() {
        return mLastAnnouncementNanos;
    }

    Admission admission() {
        return mAdmission;
    }

    boolean isOwner() {
        return mAdmission.isOwner(mLoop.nowNanos());
    }

    /**
     * Returns the number of running and queued requests. Queued ones are included because the mean
     * load of the service would not show a surge without them.
     */
    int assignedRequests() {
        return mAdmission.inFlight() + mAdmission.foreignLoad() + mAdmission.queueLength();
    }

    /** Returns the acknowledgement, or null if the announcement did not renew the lease. */
    AdmissionOutput.@Nullable Acknowledge handleAnnouncement(Announcement announcement) {
        mLastAnnouncement = announcement;
        mLastAnnouncementNanos = mLoop.nowNanos();
        mAcknowledge = null;
        post(announcement.toEvent());
        return mAcknowledge;
    }

    void post(AdmissionEvent event) {
        mRunner.handleEvent(event);
    }

    void submit(OwnedRequest request) {
        ForwardingMetadata metadata = request.metadata();
        mRequests.put(metadata.requestId(), request);
        long deadlineNanos = mLoop.nowNanos() + metadata.firstByteMillis() * NANOS_PER_MILLI;
        post(
                new AdmissionEvent.Arrived(
                        metadata.requestId(),
                        metadata.workspace(),
                        metadata.priority(),
                        metadata.kind(),
                        deadlineNanos,
                        metadata.waitMode(),
                        0));
    }

    private void execute(AdmissionOutput output) {
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
            mService.sendHandover(handover.message());
            return;
        }
        if (output instanceof AdmissionOutput.OwnershipChanged changed) {
            mService.onOwnershipChanged(this, changed.owner());
            return;
        }
        if (output instanceof AdmissionOutput.LimitChanged changed) {
            logColdLimit(changed);
        }
    }

    private void logColdLimit(AdmissionOutput.LimitChanged changed) {
        LimitReason reason = changed.reason();
        if (reason == LimitReason.LATENCY_JUMP || reason == LimitReason.CACHE_CLEARED) {
            mService.log(
                    LogEvent.BACKEND_TURNED_COLD,
                    "backend server %s: limit %d (%s)",
                    mLastAnnouncement.id(),
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

    UpstreamCall sendToBackend(OwnedRequest request) {
        ForwardingMetadata metadata = request.metadata();
        List<HeaderField> headers = new ArrayList<>();
        for (HeaderField field : request.call().headers()) {
            if (!ForwardingMetadata.isInternal(field)
                    && !field.hasName(ForwardingMetadata.REQUEST_ID)
                    && !field.hasName(ForwardingMetadata.ADMISSION_SEQUENCE)) {
                headers.add(field);
            }
        }
        headers.add(HeaderField.of(ForwardingMetadata.REQUEST_ID, metadata.requestId()));
        String sequence = Long.toString(mLastAnnouncement.sequence());
        headers.add(HeaderField.of(ForwardingMetadata.ADMISSION_SEQUENCE, sequence));
        HttpClient client = mService.clientFor(metadata.kind());
        return client.send(
                mLastAnnouncement.address(),
                request.call().method(),
                request.call().target(),
                headers,
                request.call().body(),
                request);
    }

    void onFirstByte(String requestId, long ttftNanos) {
        mLoop.execute(() -> post(new AdmissionEvent.FirstToken(requestId, ttftNanos)));
    }

    void onFinished(String requestId, RequestOutcome outcome, long ttftNanos) {
        mLoop.execute(
                () -> {
                    mRequests.remove(requestId);
                    post(new AdmissionEvent.Finished(requestId, outcome, ttftNanos));
                });
    }

    void cancelRequest(OwnedRequest request) {
        mLoop.execute(
                () -> {
                    String requestId = request.metadata().requestId();
                    if (mRequests.remove(requestId, request)) {
                        request.endCancelled();
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
