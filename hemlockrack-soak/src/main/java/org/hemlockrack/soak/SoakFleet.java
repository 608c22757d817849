package org.hemlockrack.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.platform.FakeServer;
import org.hemlockrack.platform.TestFleet;
import org.hemlockrack.testing.Relay;

/** Gateways, controllers and backend servers of a run, with a relay before each backend server. */
final class SoakFleet implements AutoCloseable {
    private static final long EXIT_SECONDS = 15;

    private final Path mFolder;
    private final TestFleet mFleet;
    private final List<Relay> mRelays = new ArrayList<>();
    private final FaultHistory mFaultHistory = new FaultHistory();

    private SoakFleet(Path folder, TestFleet fleet) {
        mFolder = folder;
        mFleet = fleet;
        for (FakeServer server : fleet.servers()) {
            String[] parts = server.address().split(":");
            InetSocketAddress target = new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
            Relay relay = Relay.open(0, target);
            mRelays.add(relay);
            server.setAdvertisedAddress(relay.address());
        }
    }

    static SoakFleet start(Path folder) {
        try {
            return new SoakFleet(folder, TestFleet.start(folder));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    TestFleet fleet() {
        return mFleet;
    }

    FaultHistory faultHistory() {
        return mFaultHistory;
    }

    Relay serverRelay(int index) {
        return mRelays.get(index);
    }

    Path dataFolder(int controller) {
        return mFolder.resolve("data-" + controller);
    }

    static String controllerName(int number) {
        return "controller-" + number;
    }

    static String gatewayName(int number) {
        return "gateway-" + number;
    }

    boolean isAlive(String name) {
        return mFleet.process(name).isAlive();
    }

    void kill(String name) {
        mFleet.process(name).destroyForcibly();
        awaitExit(name);
    }

    void terminate(String name) {
        mFleet.process(name).destroy();
        awaitExit(name);
    }

    private void awaitExit(String name) {
        if (!awaitExit(name, TimeUnit.SECONDS.toNanos(EXIT_SECONDS))) {
            throw new IllegalStateException(name + " did not exit");
        }
    }

    /** Waits until a process has ended. Returns whether it has. */
    boolean awaitExit(String name, long timeoutNanos) {
        try {
            return mFleet.process(name).waitFor(timeoutNanos, TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    void sendSignal(String name, String signal) {
        String pid = Long.toString(mFleet.process(name).pid());
        try {
            new ProcessBuilder("kill", "-" + signal, pid).start().waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void restart(String name) {
        int number = Integer.parseInt(name.substring(name.indexOf('-') + 1));
        try {
            if (name.startsWith("controller")) {
                mFleet.startController(number);
            } else {
                mFleet.startGateway(number);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        try {
            mFleet.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } finally {
            mRelays.forEach(Relay::close);
        }
    }
}
