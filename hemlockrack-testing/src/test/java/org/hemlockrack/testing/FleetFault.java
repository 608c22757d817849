package org.hemlockrack.testing;

import java.util.List;

/**
 * Faults that tests inject into an instance or into the connections of a process. The results are
 * printed under the names of the constants.
 */
enum FleetFault {
    /** The instance is killed with SIGKILL, and restarted with the same data folder at the end. */
    KILL {
        @Override
        void begin(FleetFixture fixture, String instance) {
            fixture.process(instance).kill();
        }

        @Override
        void end(FleetFixture fixture, String instance) {
            fixture.process(instance).restart();
        }
    },
    /** The instance is suspended with SIGSTOP, and resumed with SIGCONT at the end. */
    FREEZE {
        @Override
        void begin(FleetFixture fixture, String instance) {
            fixture.process(instance).sendSignal("STOP");
        }

        @Override
        void end(FleetFixture fixture, String instance) {
            fixture.process(instance).sendSignal("CONT");
        }
    },
    /** All traffic between the instance and the other instances is dropped. */
    ISOLATE {
        @Override
        void begin(FleetFixture fixture, String instance) {
            fixture.fleet().instanceRelays().isolate(instance);
        }

        @Override
        void end(FleetFixture fixture, String instance) {
            fixture.fleet().instanceRelays().heal();
        }
    },
    /**
     * Traffic is dropped on the connections that other instances open to the instance, but not on
     * those that it opens itself.
     */
    DEAF {
        @Override
        void begin(FleetFixture fixture, String instance) {
            for (String other : FleetFixture.INSTANCES) {
                if (!other.equals(instance)) {
                    fixture.fleet().instanceRelays().dropTraffic(other, instance);
                }
            }
        }

        @Override
        void end(FleetFixture fixture, String instance) {
            fixture.fleet().instanceRelays().heal();
        }
    },
    /** All traffic between owners and the booking server is dropped; the instance is ignored. */
    BACKEND_PATH {
        @Override
        void begin(FleetFixture fixture, String instance) {
            fixture.fleet().backendRelay("booking-c").dropTraffic();
        }

        @Override
        void end(FleetFixture fixture, String instance) {
            fixture.fleet().backendRelay("booking-c").heal();
        }
    };

    /** Faults of a single instance that do not affect its stored data. */
    static final List<FleetFault> INSTANCE_FAULTS = List.of(KILL, FREEZE, ISOLATE, DEAF);

    /** Injects the fault. */
    abstract void begin(FleetFixture fixture, String instance);

    /** Removes the fault that {@link #begin} injected. */
    abstract void end(FleetFixture fixture, String instance);
}
