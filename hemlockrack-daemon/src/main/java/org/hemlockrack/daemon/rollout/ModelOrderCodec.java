package org.hemlockrack.daemon.rollout;

import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.rollout.FencingToken;
import org.hemlockrack.rollout.ModelOrder;
import org.hemlockrack.rollout.OrderKind;
import org.hemlockrack.wire.OrderMessage;

/** Converts orders to and from Thrift messages. */
final class ModelOrderCodec {
    private ModelOrderCodec() {}

    static OrderMessage toWire(ModelOrder order) {
        OrderMessage message = new OrderMessage();
        message.setFence(order.fencingToken().value());
        message.setLoad(order.kind() == OrderKind.LOAD);
        message.setBackend(order.backend().value());
        message.setModel(order.version().model());
        message.setVersion(order.version().version());
        return message;
    }

    static ModelOrder fromWire(OrderMessage message) {
        return new ModelOrder(
                FencingToken.of(message.getFence()),
                message.isLoad() ? OrderKind.LOAD : OrderKind.UNLOAD,
                BackendId.of(message.getBackend()),
                ModelVersion.of(message.getModel(), message.getVersion()));
    }
}
