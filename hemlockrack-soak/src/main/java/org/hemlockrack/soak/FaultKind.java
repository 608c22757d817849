package org.hemlockrack.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.hemlockrack.platform.FakeServer;
import org.hemlockrack.testing.Relay;

/** Faults of a gateway, a controller, a backend server or the link to a backend server. */
enum FaultKind {
    /** A gateway is killed, and restarted at the end. */
    KILL_GATEWAY(Target.GATEWAY) {
        @Override
        Runnable inject(SoakFleet fleet, int target, RandomGenerator random) {
            String name = SoakFleet.gatewayName(target);
            fleet.kill(name);
            return () -> fleet.restart(name);
        }
    },
    /** A gateway is stopped gracefully, and restarted at the end. */
    STOP_GATEWAY(Target.GATEWAY) {
        @Override
        Runnable inject(SoakFleet fleet, int target, RandomGenerator random) {
            String name = SoakFleet.gatewayName(target);
            fleet.terminate(name);
            return () -> fleet.restart(name);
        }
    },
    /** A gateway is suspended. */
    SUSPEND_GATEWAY(Target.GATEWAY) {
        @Override
        Runnable inject(SoakFleet fleet, int target, RandomGenerator random) {
            return suspend(fleet, SoakFleet.gatewayName(target));
        }
    },
    /** A controller is killed, and restarted at the end. */
    KILL_CONTROLLER(Target.CONTROLLER) {
        @Override
        Runnable inject(SoakFleet fleet, int target, RandomGenerator random) {
            String name = SoakFleet.controllerName(target);
            fleet.kill(name);
            return () -> fleet.restart(name);
        }
    },
    /** A controller is suspended. */
    SUSPEND_CONTROLLER(Target.CONTROLLER) {
        @Override
        Runnable inject(SoakFleet fleet, int target, RandomGenerator random) {
            return suspend(fleet, SoakFleet.controllerName(target));
        }
    },
    /** A controller is killed and its log ends with an incomplete frame, as after a torn write. */
    TORN_WRITE(Target.CONTROLLER) {
        @Override
        Runnable inject(SoakFleet fleet, int target, RandomGenerator random) {
            String name = SoakFleet.controllerName(target);
            fleet.kill(name);
            appendTornRecord(
                    fleet.dataFolder(target).resolve("log"), 1 + random.nextInt(MAX_TORN_BYTES));
            return () -> fleet.restart(name);
        }
    },
    /**
     * A controller is killed and its file of prompt prefix uses is overwritten with random bytes.
     */
    CORRUPT_PREFIX_USES(Target.CONTROLLER) {
        @Override
        Runnable inject(SoakFleet fleet, int target, RandomGenerator random) {
            String name = SoakFleet.controllerName(target);
            fleet.kill(name);
            byte[] noise = new byte[64];
            random.nextBytes(noise);
            write(fleet.dataFolder(target).resolve("prefixes"), noise);
            return () -> fleet.restart(name);
        }
    },
    /** All connections to a backend server are reset once. */
    RESET_LINK(Target.SERVER) {
        @Override
        Runnable inject(SoakFleet fleet, int target, RandomGenerator random) {
            fleet.serverRelay(target).resetConnections();
            return () -> {};
        }
    },
    /** Traffic on the link to a backend server is delayed. */
    SLOW_LINK(Target.SERVER) {
        @Override
        Runnable inject(SoakFleet fleet, int target, RandomGenerator random) {
            Relay relay = fleet.serverRelay(target);
            relay.setDelayMillis(20 + random.nextInt(300));
            return () -> relay.setDelayMillis(0);
        }
    },
    /** All traffic on the link to a backend server is dropped silently. */
    DROPPED_TRAFFIC(Target.SERVER) {
        @Override
        Runnable inject(SoakFleet fleet, int target, RandomGenerator random) {
            Relay relay = fleet.serverRelay(target);
            relay.dropTraffic();
            return relay::heal;
        }
    },
    /** Requests reach a backend server, but its answers are dropped on the link. */
    DROPPED_ANSWERS(Target.SERVER) {
        @Override
        Runnable inject(SoakFleet fleet, int target, RandomGenerator random) {
            Relay relay = fleet.serverRelay(target);
            relay.setDropAnswers(true);
            return () -> {
                relay.setDropAnswers(false);
                relay.resetConnections();
            };
        }
    },
    /** A backend server executes requests and closes their connections without an answer. */
    UNANSWERED_REQUESTS(Target.SERVER) {
        @Override
        Runnable inject(SoakFleet fleet, int target, RandomGenerator random) {
            FakeServer server = fleet.fleet().servers().get(target);
            server.setDropAnswers(true);
            return () -> server.setDropAnswers(false);
        }
    },
    /** A backend server breaks off its streams. */
    TRUNCATED_STREAMS(Target.SERVER) {
        @Override
        Runnable inject(SoakFleet fleet, int target, RandomGenerator random) {
            FakeServer server = fleet.fleet().servers().get(target);
            server.setBreakStreams(true);
            return () -> server.setBreakStreams(false);
        }
    },
    /** A backend server sends no heartbeats. */
    SUPPRESSED_HEARTBEATS(Target.SERVER) {
        @Override
        Runnable inject(SoakFleet fleet, int target, RandomGenerator random) {
            FakeServer server = fleet.fleet().servers().get(target);
            server.setSuppressHeartbeats(true);
            return () -> server.setSuppressHeartbeats(false);
        }
    };

    /** Kind of component that a fault affects. */
    enum Target {
        GATEWAY,
        CONTROLLER,
        SERVER
    }

    /** Shorter than any complete record. */
    private static final int MAX_TORN_BYTES = 9;

    /** Size of what precedes the first frame of a segment. */
    private static final int SEGMENT_HEADER_BYTES = 20;

    private final Target mTarget;

    FaultKind(Target target) {
        mTarget = target;
    }

    Target target() {
        return mTarget;
    }

    /**
     * Injects the fault.
     *
     * @param fleet the fleet
     * @param target number of the gateway or controller, from 1, or of the server, from 0
     * @param random source of the parameters of the fault
     * @return task that ends the fault
     */
    abstract Runnable inject(SoakFleet fleet, int target, RandomGenerator random);

    private static Runnable suspend(SoakFleet fleet, String name) {
        fleet.sendSignal(name, "STOP");
        return () -> fleet.sendSignal(name, "CONT");
    }

    /** Appends the start of a frame to the newest segment, as an interrupted write leaves it. */
    private static void appendTornRecord(Path logFolder, int bytes) {
        try (Stream<Path> files = Files.list(logFolder)) {
            Optional<Path> newest =
                    files.filter(file -> file.toString().endsWith(".seg"))
                            .max(Comparator.comparing(Path::getFileName));
            if (newest.isPresent()) {
                byte[] segment = Files.readAllBytes(newest.get());
                int end = Math.min(segment.length, SEGMENT_HEADER_BYTES + bytes);
                byte[] torn = Arrays.copyOfRange(segment, SEGMENT_HEADER_BYTES, end);
                // A frame is written with an empty sync mark.
                Arrays.fill(torn, 0, Math.min(1, torn.length), (byte) 0);
                Files.write(newest.get(), torn, StandardOpenOption.APPEND);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void write(Path file, byte[] bytes) {
        try {
            Files.write(file, bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
