package org.hemlockrack.bench;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hemlockrack.daemon.ServiceProcess;
import org.hemlockrack.daemon.controller.ControllerInstance;
import org.hemlockrack.daemon.gateway.GatewayInstance;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.settings.SettingKey;
import org.hemlockrack.daemon.settings.Settings;

/** Process of {@link RestartBench}: a controller that takes tables, or a gateway. */
public final class TableInstance {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private TableInstance() {}

    /**
     * Runs the instance that its settings describe.
     *
     * @param args {@code --config FILE}
     * @throws InterruptedException if interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        ServiceProcess.run("table-instance", args, TableInstance::open);
    }

    private static ServiceProcess.Instance open(ServiceProcess.StartOptions options) {
        Settings settings = options.settings();
        if (settings.text(SettingKey.INSTANCE_ROLE).equals("gateway")) {
            return GatewayInstance.open(settings, options.file(), new TableProtocol());
        }
        return ControllerInstance.open(
                settings,
                options.file(),
                new TableProtocol(),
                service ->
                        (call, caller) -> acknowledge(service.publishTable(call.body()), caller));
    }

    private static void acknowledge(CompletableFuture<Void> order, Responder responder) {
        order.whenComplete(
                (done, fault) ->
                        responder.send(fault == null ? OK : UNAVAILABLE, List.of(), new byte[0]));
    }
}
