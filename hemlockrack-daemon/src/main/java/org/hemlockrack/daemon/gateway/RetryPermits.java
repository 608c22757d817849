package org.hemlockrack.daemon.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.limits.FleetLimit;
import org.hemlockrack.limits.PermitStock;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.wire.PermitReply;
import org.hemlockrack.wire.PermitRequest;
import org.hemlockrack.wire.RequestCountData;
import org.jspecify.annotations.Nullable;

/**
 * Acquires permits for retries from the controllers, each of which grants an equal part of the
 * fleet's limit. A retry waits for its permit for a short time at most. Thread-safe.
 */
final class RetryPermits {
    /**
     * Longest wait for a permit. A loaded controller answers in some hundred milliseconds; a later
     * permit would end before it can be used.
     */
    private static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final EventLoop mLoop;
    private final PeerNetwork mNetwork;
    private final String mSenderId;
    private final RetryLimits mLimits;
    private final Map<ServiceId, Account> mAccounts = new HashMap<>();
    private Supplier<List<String>> mControllers = List::of;

    private RetryPermits(EventLoop loop, PeerNetwork network, String senderId, RetryLimits limits) {
        mLoop = loop;
        mNetwork = network;
        mSenderId = senderId;
        mLimits = limits;
    }

    static RetryPermits create(
            EventLoop loop, PeerNetwork network, String senderId, RetryLimits limits) {
        return new RetryPermits(loop, network, senderId, limits);
    }

    /** Sets what returns the addresses of the controllers that answer. */
    synchronized void setControllers(Supplier<List<String>> controllers) {
        mControllers = controllers;
    }

    /** Permits and requests of one service. */
    private static final class Account {
        final PermitStock mStock;
        final ArrayDeque<Waiter> mWaiters = new ArrayDeque<>();
        long mRequests;
        int mNextController;
        int mAsked;
        boolean mAsking;

        Account(long nowNanos) {
            mStock = PermitStock.create(nowNanos);
        }
    }

    private record Waiter(long endNanos, Consumer<Boolean> onDecided) {}

    private Account account(ServiceId service) {
        return mAccounts.computeIfAbsent(service, key -> new Account(mLoop.nowNanos()));
    }

    /** Counts a request of a caller. */
    synchronized void countRequest(ServiceId service) {
        account(service).mRequests++;
    }

    /** Returns the requests of callers since the start, for the report to the controllers. */
    synchronized List<RequestCountData> requestCounts() {
        List<RequestCountData> counts = new ArrayList<>(mAccounts.size());
        mAccounts.forEach(
                (service, account) ->
                        counts.add(new RequestCountData(service.value(), account.mRequests)));
        return counts;
    }

    /**
     * Acquires a permit for one retry.
     *
     * @param service the service that the retry is sent to
     * @param onDecided receives whether the permit was granted; called on this thread or the loop
     */
    void acquire(ServiceId service, Consumer<Boolean> onDecided) {
        long nowNanos = mLoop.nowNanos();
        boolean taken;
        synchronized (this) {
            Account account = account(service);
            account.mStock.recordDemand(nowNanos);
            taken =
                    account.mWaiters.isEmpty()
                            && account.mStock.tryTake(nowNanos, System.currentTimeMillis());
            if (!taken) {
                account.mWaiters.add(new Waiter(nowNanos + MAX_WAIT_NANOS, onDecided));
            }
        }
        if (taken) {
            onDecided.accept(true);
            return;
        }
        mLoop.scheduleAt(nowNanos + MAX_WAIT_NANOS, () -> settle(service));
        mLoop.execute(
                () -> {
                    ask(service);
                    settle(service);
                });
    }

    /** Asks the next controller for permits, unless one is being asked. */
    private void ask(ServiceId service) {
        long nowNanos = mLoop.nowNanos();
        long wallMillis = System.currentTimeMillis();
        PermitRequest request;
        String controller;
        synchronized (this) {
            Account account = account(service);
            int wanted = account.mStock.wanted(nowNanos, wallMillis, account.mWaiters.size());
            List<String> controllers = mControllers.get();
            boolean allAsked = account.mAsked >= controllers.size();
            if (account.mAsking || account.mWaiters.isEmpty() || wanted == 0 || allAsked) {
                return;
            }
            account.mAsking = true;
            account.mAsked++;
            controller = controllers.get(account.mNextController % controllers.size());
            account.mNextController = (account.mNextController + 1) % controllers.size();
            request = createRequest(service, wanted);
        }
        mNetwork.callAsync(controller, client -> client.acquirePermits(request))
                .whenComplete(
                        (reply, fault) ->
                                mLoop.execute(() -> onReply(service, nowNanos, wallMillis, reply)));
    }

    private PermitRequest createRequest(ServiceId service, int wanted) {
        FleetLimit limit = mLimits.fleetLimit();
        return new PermitRequest(
                mSenderId,
                service.value(),
                wanted,
                limit.slack(),
                limit.ratio(),
                mLimits.windowMillis());
    }

    private void onReply(
            ServiceId service, long askedNanos, long askedWallMillis, @Nullable PermitReply reply) {
        synchronized (this) {
            Account account = account(service);
            account.mAsking = false;
            if (reply != null && reply.getGranted() > 0) {
                long lifetimeNanos = TimeUnit.MILLISECONDS.toNanos(reply.getLifetimeMillis());
                account.mStock.add(askedNanos, askedWallMillis, lifetimeNanos, reply.getGranted());
            }
        }
        settle(service);
        ask(service);
    }

    /** Gives permits to waiting retries in order, and refuses those that have waited too long. */
    private void settle(ServiceId service) {
        List<Consumer<Boolean>> granted = new ArrayList<>();
        List<Consumer<Boolean>> refused = new ArrayList<>();
        synchronized (this) {
            Account account = account(service);
            long nowNanos = mLoop.nowNanos();
            long wallMillis = System.currentTimeMillis();
            boolean allAsked = !account.mAsking && account.mAsked >= mControllers.get().size();
            while (!account.mWaiters.isEmpty()) {
                if (account.mStock.tryTake(nowNanos, wallMillis)) {
                    granted.add(account.mWaiters.remove().onDecided());
                    continue;
                }
                if (!allAsked && nowNanos - account.mWaiters.peek().endNanos() < 0) {
                    break;
                }
                refused.add(account.mWaiters.remove().onDecided());
            }
            if (account.mWaiters.isEmpty()) {
                account.mAsked = 0;
            }
        }
        granted.forEach(each -> each.accept(true));
        refused.forEach(each -> each.accept(false));
    }
}
