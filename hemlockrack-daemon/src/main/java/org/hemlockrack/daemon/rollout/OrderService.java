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

/** Passes orders on to the backend servers that this instance owns. */
public final class OrderService {
    private final EventLoop mLoop;
    private final PeerNetwork mNetwork;
    private final Proposer mProposer;
    private final Map<InstanceId, String> mVoters;
    private final HttpClient mClient;
    private final Map<BackendId, String> mAddresses = new HashMap<>();
    private final DeciderRunner<OrderEvent, OrderOutput> mRunner;
    private boolean mRefused;

    private OrderService(
            EventLoop loop,
            PeerNetwork network,
            Proposer proposer,
            Map<InstanceId, String> voters,
            HttpClient client) {
        mLoop = loop;
        mNetwork = network;
        mProposer = proposer;
        mVoters = voters;
        mClient = client;
        mRunner = DeciderRunner.create(loop, OrderSender.create(), this::carryOut);
    }

    /**
     * Creates the service.
     *
     * @param loop loop that owns it
     * @param network connections to other instances
     * @param proposer knows the leader
     * @param voters peer addresses of the voters
     * @param client client that opens a connection for each request
     * @return the service
     */
    public static OrderService create(
            EventLoop loop,
            PeerNetwork network,
            Proposer proposer,
            Map<InstanceId, String> voters,
            HttpClient client) {
        return new OrderService(loop, network, proposer, voters, client);
    }

    /**
     * Notes a renewed right to a server. Called on the loop.
     *
     * @param owned the right
     * @param address address of the server
     */
    public void owned(OrderEvent.LeaseGranted owned, String address) {
        mAddresses.put(owned.backend(), address);
        mRunner.handleEvent(owned);
    }

    /** Notes the end of a right. Called on the loop. */
    public void disowned(BackendId backend) {
        mAddresses.remove(backend);
        mRunner.handleEvent(new OrderEvent.LeaseLost(backend));
    }

    /**
     * Takes an order of the controller. Safe for use from any thread but the loop.
     *
     * @param message the order
     * @return false if it was refused at once
     */
    public boolean take(OrderMessage message) {
        ModelOrder order = Orders.fromWire(message);
        return mLoop.submit(() -> takeOnLoop(order)).join();
    }

    private boolean takeOnLoop(ModelOrder order) {
        mRefused = false;
        mRunner.handleEvent(new OrderEvent.OrderReceived(order));
        return !mRefused;
    }

    private void carryOut(OrderOutput output) {
        if (output instanceof OrderOutput.RefuseOrder) {
            // A later refusal is met by the controller's load timeout.
            mRefused = true;
        } else if (output instanceof OrderOutput.ConfirmOrder confirm) {
            confirm(confirm.order());
        } else if (output instanceof OrderOutput.SendOrder send) {
            send(send);
        }
    }

    private void confirm(ModelOrder order) {
        InstanceId leader = mProposer.leader();
        String address = leader == null ? null : mVoters.get(leader);
        if (address == null) {
            mLoop.execute(
                    () -> mRunner.handleEvent(new OrderEvent.ConfirmationReceived(order, false)));
            return;
        }
        mNetwork.callAsync(address, client -> client.confirmOrder(Orders.toWire(order)))
                .whenComplete(
                        (valid, fault) ->
                                mLoop.execute(
                                        () ->
                                                mRunner.handleEvent(
                                                        new OrderEvent.ConfirmationReceived(
                                                                order, fault == null && valid))));
    }

    private void send(OrderOutput.SendOrder send) {
        ModelOrder order = send.order();
        String address = mAddresses.get(order.backend());
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
                        new Answer(order, send.deadlineNanos()));
        mLoop.scheduleAt(send.deadlineNanos(), call::cancel);
    }

    /** Notes the server's answer to one order. */
    private final class Answer implements UpstreamListener {
        private final ModelOrder mOrder;
        private final long mGiveUpNanos;

        Answer(ModelOrder order, long giveUpNanos) {
            mOrder = order;
            mGiveUpNanos = giveUpNanos;
        }

        @Override
        public boolean beforeSend() {
            return mLoop.nowNanos() - mGiveUpNanos < 0;
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
