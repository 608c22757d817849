package org.hemlockrack.daemon.rollout;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpClient;
import org.hemlockrack.daemon.http.UpstreamCall;
import org.hemlockrack.daemon.http.UpstreamListener;
import org.hemlockrack.daemon.loop.DeciderRunner;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.replica.Proposer;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.rollout.ModelOrder;
import org.hemlockrack.rollout.OrderEvent;
import org.hemlockrack.rollout.OrderOutput;
import org.hemlockrack.rollout.OrderSender;
import org.hemlockrack.wire.OrderMessage;

/** Sends the roll-out controller's orders to the backend servers that this instance owns. */
public final class OrderService {
    private final EventLoop mLoop;
    private final PeerNetwork mNetwork;
    private final Proposer mProposer;
    private final Map<InstanceId, String> mVoterAddresses;
    private final HttpClient mClient;
    private final Map<BackendId, String> mServerAddresses = new HashMap<>();
    private final DeciderRunner<OrderEvent, OrderOutput> mRunner;
    private boolean mOrderRefused;

    private OrderService(
            EventLoop loop,
            PeerNetwork network,
            Proposer proposer,
            Map<InstanceId, String> voterAddresses,
            HttpClient client) {
        mLoop = loop;
        mNetwork = network;
        mProposer = proposer;
        mVoterAddresses = voterAddresses;
        mClient = client;
        mRunner = DeciderRunner.create(loop, OrderSender.create(), this::handleOutput);
    }

    /**
     * Creates the service.
     *
     * @param loop loop that owns it
     * @param network connections to other instances
     * @param proposer source of the current leader
     * @param voterAddresses peer addresses of the voters
     * @param client client that opens a connection for each request
     * @return the service
     */
    public static OrderService create(
            EventLoop loop,
            PeerNetwork network,
            Proposer proposer,
            Map<InstanceId, String> voterAddresses,
            HttpClient client) {
        return new OrderService(loop, network, proposer, voterAddresses, client);
    }

    /**
     * Records that this instance was granted the lease of a server or renewed it. Called on the
     * loop.
     *
     * @param lease the lease
     * @param address address of the server
     */
    public void onLeaseGranted(OrderEvent.LeaseGranted lease, String address) {
        mServerAddresses.put(lease.backend(), address);
        mRunner.handleEvent(lease);
    }

    /** Records that this instance lost the lease of a server. Called on the loop. */
    public void onLeaseLost(BackendId backend) {
        mServerAddresses.remove(backend);
        mRunner.handleEvent(new OrderEvent.LeaseLost(backend));
    }

    /**
     * Receives an order of the controller. Safe for use from any thread but the loop, for which it
     * waits.
     *
     * @param message the order
     * @return false if it was refused at once; an accepted order may still be refused later
     */
    public boolean receive(OrderMessage message) {
        ModelOrder order = ModelOrderCodec.fromWire(message);
        return mLoop.submit(() -> receiveOnLoop(order)).join();
    }

    private boolean receiveOnLoop(ModelOrder order) {
        mOrderRefused = false;
        mRunner.handleEvent(new OrderEvent.OrderReceived(order));
        return !mOrderRefused;
    }

    private void handleOutput(OrderOutput output) {
        if (output instanceof OrderOutput.RefuseOrder) {
            // If the order was accepted before, the controller notices by its load timeout.
            mOrderRefused = true;
        } else if (output instanceof OrderOutput.ConfirmOrder confirm) {
            requestConfirmation(confirm.order());
        } else if (output instanceof OrderOutput.SendOrder send) {
            send(send);
        }
    }

    private void requestConfirmation(ModelOrder order) {
        InstanceId leader = mProposer.leader();
        String address = leader == null ? null : mVoterAddresses.get(leader);
        if (address == null) {
            mLoop.execute(
                    () -> mRunner.handleEvent(new OrderEvent.ConfirmationReceived(order, false)));
            return;
        }
        mNetwork.callAsync(address, client -> client.confirmOrder(ModelOrderCodec.toWire(order)))
                .whenComplete(
                        (confirmed, error) ->
                                mLoop.execute(
                                        () ->
                                                mRunner.handleEvent(
                                                        new OrderEvent.ConfirmationReceived(
                                                                order,
                                                                error == null && confirmed))));
    }

    private void send(OrderOutput.SendOrder send) {
        ModelOrder order = send.order();
        String address = mServerAddresses.get(order.backend());
        if (address == null) {
            return;
        }
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("fence", order.fencingToken().value());
        body.put("kind", order.kind().name().toLowerCase(Locale.ROOT));
        body.put("model", order.version().model());
        body.put("version", order.version().version());
        UpstreamCall call =
                mClient.send(
                        address,
                        "POST",
                        "/orders",
                        List.of(HeaderField.of("Content-Type", "application/json")),
                        body.toString().getBytes(StandardCharsets.UTF_8),
                        new ResponseListener(order, send.deadlineNanos()));
        mLoop.scheduleAt(send.deadlineNanos(), call::cancel);
    }

    /**
     * Reports that an order has ended: the server responded, or the request was not sent. After a
     * failure that leaves this open, the order counts as under way until its deadline.
     */
    private final class ResponseListener implements UpstreamListener {
        private final ModelOrder mOrder;
        private final long mDeadlineNanos;

        ResponseListener(ModelOrder order, long deadlineNanos) {
            mOrder = order;
            mDeadlineNanos = deadlineNanos;
        }

        @Override
        public boolean beforeSend() {
            return mLoop.nowNanos() - mDeadlineNanos < 0;
        }

        @Override
        public void onHead(int status, List<HeaderField> headers, long lengthBytes) {}

        @Override
        public void onBody(ByteBuffer data) {
            data.position(data.limit());
        }

        @Override
        public void onEnd() {
            mLoop.execute(() -> mRunner.handleEvent(new OrderEvent.OrderAnswered(mOrder)));
        }

        @Override
        public void onFailed(Exception cause, boolean mayHaveBeenSent) {
            if (!mayHaveBeenSent) {
                onEnd();
            }
        }
    }
}
