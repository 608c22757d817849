package org.hemlockrack.consensus.disk;

import java.util.random.RandomGenerator;

/** What a loss of power leaves of the changes that no sync has covered. */
public enum PowerLoss {
    /** All of them are lost. */
    LOSES_ALL,
    /** All of them are kept. */
    KEEPS_ALL,
    /** Each is kept, lost or torn by itself. */
    MIXED;

    /** What is left of a change. */
    enum Fate {
        KEPT,
        LOST,
        /** The first bytes are kept. */
        PREFIX,
        /** The last bytes are kept. */
        SUFFIX
    }

    /** Returns what is left of a write. */
    Fate ofWrite(RandomGenerator random) {
        return switch (this) {
            case LOSES_ALL -> Fate.LOST;
            case KEEPS_ALL -> Fate.KEPT;
            case MIXED -> Fate.values()[random.nextInt(Fate.values().length)];
        };
    }

    /** Returns whether a change that cannot be torn is kept. */
    boolean keeps(RandomGenerator random) {
        return switch (this) {
            case LOSES_ALL -> false;
            case KEEPS_ALL -> true;
            case MIXED -> random.nextBoolean();
        };
    }
}
