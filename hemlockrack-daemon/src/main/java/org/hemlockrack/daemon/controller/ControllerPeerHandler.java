package org.hemlockrack.daemon.controller;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.TException;
import org.hemlockrack.consensus.ConsensusCodec;
import org.hemlockrack.consensus.Packet;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.peer.PeerClient;
import org.hemlockrack.daemon.replica.ProposalEndpoint;
import org.hemlockrack.daemon.replica.ReplicaService;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.wire.ConfigReply;
import org.hemlockrack.wire.Envelope;
import org.hemlockrack.wire.OrderMessage;
import org.hemlockrack.wire.Peer;
import org.hemlockrack.wire.PermitReply;
import org.hemlockrack.wire.PermitRequest;
import org.hemlockrack.wire.ProposeReply;
import org.hemlockrack.wire.ProposeRequest;
import org.hemlockrack.wire.Slice;
import org.hemlockrack.wire.SyncReply;
import org.hemlockrack.wire.SyncRequest;
import org.jspecify.annotations.Nullable;

/** Handles calls of gateways and other controllers. Called on the peer port's threads. */
final class ControllerPeerHandler implements Peer.Iface {
    /**
     * State exchanges that are processed at the same time. After a restart all gateways send
     * requests at once; the limit leaves processor time for the consensus messages, which are
     * received on other threads.
     */
    private static final int MAX_CONCURRENT_EXCHANGES = 2;

    private final String mSelf;
    private final ReplicaService mReplica;
    private final ControllerService mService;
    private final @Nullable DutyService mDuties;
    private final DecisionLog mLog;
    private final Semaphore mExchangePermits = new Semaphore(MAX_CONCURRENT_EXCHANGES, true);

    ControllerPeerHandler(
            String self,
            ReplicaService replica,
            ControllerService service,
            @Nullable DutyService duties,
            DecisionLog log) {
        mDuties = duties;
        mSelf = self;
        mReplica = replica;
        mService = service;
        mLog = log;
    }

    @Override
    public void deliver(List<Envelope> envelopes) {
        for (Envelope envelope : envelopes) {
            boolean addressedToSelf = envelope.getTarget().equals(mSelf);
            if (!addressedToSelf || envelope.getSlice() != Slice.CONSENSUS) {
                continue;
            }
            try {
                Packet packet = ConsensusCodec.decode(envelope.getPayload());
                mService.noteMessage(packet.from().instance());
                mReplica.receive(packet);
            } catch (HemlockrackException e) {
                mLog.instanceEvent("peer_message_rejected")
                        .put("sender", envelope.getSender())
                        .put("cause", e.getMessage())
                        .write();
            }
        }
    }

    @Override
    public void ping() {}

    @Override
    public ProposeReply propose(ProposeRequest request) {
        return ProposalEndpoint.handle(mReplica, request);
    }

    private SyncReply exchange(SyncRequest request) {
        SyncReply reply = mService.sync(request);
        if (mDuties != null) {
            mDuties.exchange(request, reply);
        }
        return reply;
    }

    @Override
    public SyncReply sync(SyncRequest request) throws TException {
        acquireExchangePermit();
        try {
            return exchange(request);
        } finally {
            mExchangePermits.release();
        }
    }

    /** Waits no longer than the caller, so that callers that connect again do not add up. */
    private void acquireExchangePermit() throws TException {
        boolean isAcquired;
        try {
            isAcquired =
                    mExchangePermits.tryAcquire(
                            PeerClient.READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new TApplicationException(
                    TApplicationException.INTERNAL_ERROR, "the controller is stopping");
        }
        if (!isAcquired) {
            throw new TApplicationException(
                    TApplicationException.INTERNAL_ERROR,
                    "no exchange ended for " + PeerClient.READ_TIMEOUT_MILLIS + " ms");
        }
    }

    @Override
    public PermitReply acquirePermits(PermitRequest request) {
        return mService.acquirePermits(request);
    }

    private static TException unsupported() {
        return new TApplicationException(
                TApplicationException.UNKNOWN_METHOD, "controllers do not support this call");
    }

    @Override
    public ConfigReply fetchConfig(long haveVersion) throws TException {
        throw unsupported();
    }

    @Override
    public ConfigReply fetchConfirmedConfig() throws TException {
        throw unsupported();
    }

    @Override
    public boolean abandoned(String attempt) throws TException {
        throw unsupported();
    }

    @Override
    public ByteBuffer fetchRollouts() throws TException {
        throw unsupported();
    }

    @Override
    public boolean order(OrderMessage message) throws TException {
        throw unsupported();
    }

    @Override
    public boolean confirmOrder(OrderMessage message) throws TException {
        throw unsupported();
    }

    @Override
    public ByteBuffer fetchBurn() throws TException {
        throw unsupported();
    }
}
