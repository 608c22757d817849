package org.hemlockrack.daemon.entry;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.placement.PlacementChoice;
import org.hemlockrack.retry.RetryPolicy;
import org.jspecify.annotations.Nullable;

/**
 * Records how the attempts of one request ended and decides which server gets the next one. Not
 * thread-safe.
 */
final class AttemptHistory {
    /** Largest number of attempts that may have run on a backend server. */
    private static final int MAX_POSSIBLE_RUNS = 3;

    private final Set<BackendId> mExcludedServers = new HashSet<>();

    /** Servers that have stopped taking work since they were chosen for this request. */
    private final Set<BackendId> mStoppedServers = new HashSet<>();

    private @Nullable PlacementChoice mChoice;
    private @Nullable PlacementChoice mFirstChoice;
    private ErrorKind mLastFailure = ErrorKind.NO_BACKEND;
    private @Nullable ErrorKind mLastPossibleRun;
    private int mPossibleRuns;
    private boolean mOwnerLost;
    private boolean mQueueing;

    private AttemptHistory() {}

    /** Creates the history of a request without attempts. */
    static AttemptHistory create() {
        return new AttemptHistory();
    }

    /** Returns the server of the newest attempt, or null before the first one. */
    @Nullable PlacementChoice choice() {
        return mChoice;
    }

    /** Returns whether the next attempt may wait in the queue of its server. */
    boolean isQueueing() {
        return mQueueing;
    }

    /**
     * Chooses the server of the next attempt.
     *
     * @param resumeStream whether the attempt continues a stream, which only its server can do
     * @param choose returns the servers in the order of preference, without the excluded ones
     * @return the choice, or empty if every server was tried
     */
    Optional<PlacementChoice> chooseNext(
            boolean resumeStream, Function<Set<BackendId>, List<PlacementChoice>> choose) {
        if (resumeStream && mChoice != null) {
            return Optional.of(recordChoice(mChoice));
        }
        List<PlacementChoice> choices = choose.apply(mExcludedServers);
        if (!choices.isEmpty()) {
            return Optional.of(recordChoice(choices.get(0)));
        }
        boolean canStartQueueing = mLastFailure == ErrorKind.OVERLOADED && !mQueueing;
        if (!canStartQueueing || mFirstChoice == null) {
            return Optional.empty();
        }
        mQueueing = true;
        return Optional.of(recordChoice(mFirstChoice));
    }

    private PlacementChoice recordChoice(PlacementChoice choice) {
        mChoice = choice;
        mOwnerLost = false;
        if (mFirstChoice == null) {
            mFirstChoice = choice;
        }
        mExcludedServers.add(choice.backend());
        return choice;
    }

    /** Records that the owner of the chosen server refused the attempt, which has not run. */
    void recordRefusal(ErrorKind kind) {
        mLastFailure = kind;
        if (kind == ErrorKind.NO_BACKEND) {
            excludeStoppedServer();
        }
    }

    /**
     * Records that the connection to the chosen server's owner was lost. The server itself may be
     * sound, and another instance may own it by now.
     */
    void recordLostOwner() {
        mOwnerLost = true;
    }

    /** Returns whether the newest attempt ended because the connection to the owner was lost. */
    boolean isOwnerLost() {
        return mOwnerLost;
    }

    /**
     * Counts an attempt that may have run, and makes the servers candidates again that had refused
     * an earlier attempt. Only the chosen server and stopped ones stay excluded.
     *
     * @param cause the failure of the attempt
     * @return whether the request may be attempted once more
     */
    boolean mayRepeat(ErrorKind cause) {
        mLastFailure = cause;
        if (RetryPolicy.of(cause) == RetryPolicy.REFUSED) {
            return true;
        }
        mLastPossibleRun = cause;
        mPossibleRuns++;
        resetExcludedServers();
        if (mChoice != null) {
            mExcludedServers.add(mChoice.backend());
        }
        return mPossibleRuns < MAX_POSSIBLE_RUNS;
    }

    /**
     * Returns whether the newest attempt failed for lack of a ready owner, which ends as soon as
     * another instance has taken the server over.
     */
    boolean lacksOwner() {
        return mOwnerLost
                || mLastFailure == ErrorKind.NOT_OWNER
                || mLastFailure == ErrorKind.NOT_READY;
    }

    /** Makes all servers candidates again that have not stopped taking work. */
    void resetExcludedServers() {
        mExcludedServers.clear();
        mExcludedServers.addAll(mStoppedServers);
    }

    /**
     * Returns the error of a request that gets no further attempt. An attempt that may have run
     * takes precedence over later refusals, which would tell the caller that nothing has run.
     */
    ErrorKind finalError() {
        if (mLastPossibleRun != null) {
            return mLastPossibleRun;
        }
        return lacksOwner() ? ErrorKind.NO_BACKEND : mLastFailure;
    }

    /**
     * Excludes the chosen server, which takes no more work. A request that was queued there must be
     * queued at another server.
     */
    private void excludeStoppedServer() {
        if (mChoice != null && mStoppedServers.add(mChoice.backend())) {
            mQueueing = false;
            mFirstChoice = null;
            resetExcludedServers();
        }
    }
}
