package org.hemlockrack.testing;

import java.util.List;

/** A fault of one process or of its connections, and its end. */
enum FleetFault {
    /** SIGKILL, then a new process with the same data folder. */
    KILL {
        @Override
        void begin(FleetRig rig, String instance) {
            rig.process(instance).kill();
        }

        @Override
        void end(FleetRig rig, String instance) {
            rig.process(instance).restart();
        }
    },
    /** SIGSTOP, then SIGCONT. */
    FREEZE {
        @Override
        void begin(FleetRig rig, String instance) {
            rig.process(instance).signal("STOP");
        }

        @Override
        void end(FleetRig rig, String instance) {
            rig.process(instance).signal("CONT");
        }
    },
    /** All connections to and from other instances lose everything. */
    ISOLATE {
        @Override
        void begin(FleetRig rig, String instance) {
            rig.fleet().links().isolate(instance);
        }

        @Override
        void end(FleetRig rig, String instance) {
            rig.fleet().links().heal();
        }
    },
    /** Connections that others open to the instance lose everything; its own ones work. */
    DEAF {
        @Override
        void begin(FleetRig rig, String instance) {
            for (String other : FleetRig.INSTANCES) {
                if (!other.equals(instance)) {
                    rig.fleet().links().cut(other, instance);
                }
            }
        }

        @Override
        void end(FleetRig rig, String instance) {
            rig.fleet().links().heal();
        }
    },
    /** The path from owners to the booking server loses everything, whatever the instance. */
    BACKEND_PATH {
        @Override
        void begin(FleetRig rig, String instance) {
            rig.fleet().backendRelay("booking-c").cut();
        }

        @Override
        void end(FleetRig rig, String instance) {
            rig.fleet().backendRelay("booking-c").heal();
        }
    };

    /** Faults of a single instance that leave its data. */
    static final List<FleetFault> OF_INSTANCES = List.of(KILL, FREEZE, ISOLATE, DEAF);

    abstract void begin(FleetRig rig, String instance);

    abstract void end(FleetRig rig, String instance);
}
