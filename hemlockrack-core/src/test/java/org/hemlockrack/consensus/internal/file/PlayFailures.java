package org.hemlockrack.consensus.internal.file;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hemlockrack.errors.HemlockrackException;

/** Counts the plays of histories that fail, by the kind of failure. */
final class PlayFailures {
    /** A history that is played. */
    interface Play {
        void run() throws IOException;
    }

    private final Map<String, Integer> mCounts = new TreeMap<>();
    private final List<String> mFirst = new ArrayList<>();
    private int mPlays;
    private int mFailed;

    void run(String name, Play play) throws IOException {
        mPlays++;
        try {
            play.run();
        } catch (AssertionError | HemlockrackException e) {
            mFailed++;
            String kind = e.toString().replaceAll("[-0-9]+", "#");
            if (mCounts.merge(kind, 1, Integer::sum) == 1) {
                mFirst.add(name + ": " + e);
            }
        } catch (RuntimeException e) {
            throw new IllegalStateException(name, e);
        }
    }

    int count() {
        return mFailed;
    }

    @Override
    public String toString() {
        return String.format("plays=%d failed=%d %s", mPlays, mFailed, mCounts);
    }

    /** Fails with the first failure of each kind. */
    void requireNone() {
        System.out.println(this);
        assertEquals(List.of(), mFirst);
    }
}
