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
import org.hemlockrack.platform.TestFleet;
import org.hemlockrack.testing.Relay;

/** What may happen to a process, a link or a backend server. */
enum FaultKind {
    /** A gateway is killed and starts again at the end. */
    KILL_GATEWAY(Target.GATEWAY) {
        @Override
        Runnable start(SoakFleet fleet, int target, RandomGenerator random) {
            String name = SoakFleet.gateway(target);
            fleet.kill(name);
            return () -> fleet.restart(name);
        }
    },
    /** A gateway is asked to end, and starts again at the end. */
    STOP_GATEWAY(Target.GATEWAY) {
        @Override
        Runnable start(SoakFleet fleet, int target, RandomGenerator random) {
            String name = SoakFleet.gateway(target);
            fleet.terminate(name);
            return () -> fleet.restart(name);
        }
    },
    /** A gateway is paused. */
    PAUSE_GATEWAY(Target.GATEWAY) {
        @Override
        Runnable start(SoakFleet fleet, int target, RandomGenerator random) {
            return pause(fleet, SoakFleet.gateway(target));
        }
    },
    /** A controller is killed and starts again at the end. */
    KILL_CONTROLLER(Target.CONTROLLER) {
        @Override
        Runnable start(SoakFleet fleet, int target, RandomGenerator random) {
            String name = SoakFleet.controller(target);
            fleet.kill(name);
            return () -> fleet.restart(name);
        }
    },
    /** A controller is paused. */
    PAUSE_CONTROLLER(Target.CONTROLLER) {
        @Override
        Runnable start(SoakFleet fleet, int target, RandomGenerator random) {
            return pause(fleet, SoakFleet.controller(target));
        }
    },
    /** A controller is killed in the middle of a write to its log. */
    TORN_WRITE(Target.CONTROLLER) {
        @Override
        Runnable start(SoakFleet fleet, int target, RandomGenerator random) {
            String name = SoakFleet.controller(target);
            fleet.kill(name);
            tear(fleet.dataFolder(target).resolve("log"), 1 + random.nextInt(MAX_TORN_BYTES));
            return () -> fleet.restart(name);
        }
    },
    /** A controller is killed and the file of its prompt uses is damaged. */
    DAMAGED_PREFIXES(Target.CONTROLLER) {
        @Override
        Runnable start(SoakFleet fleet, int target, RandomGenerator random) {
            String name = SoakFleet.controller(target);
            fleet.kill(name);
            byte[] noise = new byte[64];
            random.nextBytes(noise);
            write(fleet.dataFolder(target).resolve("prefixes"), noise);
            return () -> fleet.restart(name);
        }
    },
    /** All connections to a backend server are reset. */
    RESET_LINK(Target.SERVER) {
        @Override
        Runnable start(SoakFleet fleet, int target, RandomGenerator random) {
            fleet.relay(target).resetConnections();
            return () -> {};
        }
    },
    /** The link to a backend server is slow. */
    SLOW_LINK(Target.SERVER) {
        @Override
        Runnable start(SoakFleet fleet, int target, RandomGenerator random) {
            Relay relay = fleet.relay(target);
            relay.setDelayMillis(20 + random.nextInt(300));
            return () -> relay.setDelayMillis(0);
        }
    },
    /** The link to a backend server loses everything silently. */
    SILENT_LINK(Target.SERVER) {
        @Override
        Runnable start(SoakFleet fleet, int target, RandomGenerator random) {
            Relay relay = fleet.relay(target);
            relay.dropTraffic();
            return relay::heal;
        }
    },
    /** Requests reach a backend server, but its answers are lost on the way. */
    ONE_WAY_LINK(Target.SERVER) {
        @Override
        Runnable start(SoakFleet fleet, int target, RandomGenerator random) {
            Relay relay = fleet.relay(target);
            relay.setDropAnswers(true);
            return () -> {
                relay.setDropAnswers(false);
                relay.resetConnections();
            };
        }
    },
    /** A backend server runs requests and closes their connections. */
    LOST_ANSWERS(Target.SERVER) {
        @Override
        Runnable start(SoakFleet fleet, int target, RandomGenerator random) {
            TestFleet.FakeServer server = fleet.fleet().servers().get(target);
            server.setDropAnswers(true);
            return () -> server.setDropAnswers(false);
        }
    },
    /** A backend server breaks its streams off. */
    BROKEN_STREAMS(Target.SERVER) {
        @Override
        Runnable start(SoakFleet fleet, int target, RandomGenerator random) {
            TestFleet.FakeServer server = fleet.fleet().servers().get(target);
            server.setBreakStreams(true);
            return () -> server.setBreakStreams(false);
        }
    },
    /** Heartbeats of a backend server stop. */
    MUTE_SERVER(Target.SERVER) {
        @Override
        Runnable start(SoakFleet fleet, int target, RandomGenerator random) {
            TestFleet.FakeServer server = fleet.fleet().servers().get(target);
            server.setSuppressHeartbeats(true);
            return () -> server.setSuppressHeartbeats(false);
        }
    };

    /** What a fault happens to. */
    enum Target {
        GATEWAY,
        CONTROLLER,
        SERVER
    }

    /** Less than any whole record. */
    private static final int MAX_TORN_BYTES = 9;

    private final Target mTarget;

    FaultKind(Target target) {
        mTarget = target;
    }

    Target target() {
        return mTarget;
    }

    /**
     * Starts the fault.
     *
     * @param fleet the fleet
     * @param target number of the gateway or controller from 1, or of the server from 0
     * @param random source of the details
     * @return ends the fault
     */
    abstract Runnable start(SoakFleet fleet, int target, RandomGenerator random);

    private static Runnable pause(SoakFleet fleet, String name) {
        fleet.signal(name, "STOP");
        return () -> fleet.signal(name, "CONT");
    }

    /** Adds the start of a record, as a write leaves it that was broken off. */
    private static void tear(Path folder, int bytes) {
        try (Stream<Path> files = Files.list(folder)) {
            Optional<Path> newest =
                    files.filter(file -> file.toString().endsWith(".seg"))
                            .max(Comparator.comparing(Path::getFileName));
            if (newest.isPresent()) {
                byte[] records = Files.readAllBytes(newest.get());
                byte[] torn = Arrays.copyOf(records, Math.min(bytes, records.length));
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
