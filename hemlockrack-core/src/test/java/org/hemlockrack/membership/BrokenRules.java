package org.hemlockrack.membership;

import org.hemlockrack.membership.internal.GossipRules;

/** Rules with one mechanism disabled, and the kind of violation that the checks must then find. */
enum BrokenRules {
    NO_REFUTATION("CONVERGE", 1) {
        @Override
        GossipRules rules() {
            return new AccessibleRules() {
                @Override
                public boolean refutesOwnDeath() {
                    return false;
                }
            };
        }
    },
    NO_VERSIONS("STALE", 1) {
        @Override
        GossipRules rules() {
            return new AccessibleRules() {
                @Override
                public boolean supersedes(Version stored, Version received) {
                    return !received.equals(stored);
                }
            };
        }
    },
    NO_ZONE_DETECTION("CUT_MOVED", 5) {
        @Override
        GossipRules rules() {
            return new AccessibleRules() {
                @Override
                public boolean isGroupUnreachable(int unreachable, int total) {
                    return false;
                }
            };
        }
    },
    NO_ISOLATION("ISOLATED", 1) {
        @Override
        GossipRules rules() {
            return new AccessibleRules() {
                @Override
                public boolean isIsolated(int unreachable, int total) {
                    return false;
                }

                @Override
                public boolean isGroupUnreachable(int unreachable, int total) {
                    return false;
                }
            };
        }
    },
    NO_ANTI_ENTROPY("CONVERGE", 1) {
        @Override
        GossipRules rules() {
            return new AccessibleRules() {
                @Override
                public boolean comparesDigests() {
                    return false;
                }
            };
        }
    };

    /** The kind of violation that the missing mechanism causes. */
    final String mViolationKind;

    /** A seed whose history shows the violation. */
    final long mSeed;

    BrokenRules(String kind, long seed) {
        mViolationKind = kind;
        mSeed = seed;
    }

    abstract GossipRules rules();

    /** Makes the protected constructor of the rules accessible. */
    static class AccessibleRules extends GossipRules {}
}
