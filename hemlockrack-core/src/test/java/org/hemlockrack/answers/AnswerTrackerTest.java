package org.hemlockrack.answers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.ArrayList;
import java.util.List;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.RunState;
import org.hemlockrack.model.RequestKind;
import org.junit.jupiter.api.Test;

class AnswerTrackerTest {
    private final AnswerTracker mTracker =
            AnswerTracker.create(AnswerSettings.defaults(), RequestKind.SERVICE_COMMAND, true);

    private AnswerOutput fail(int attempt, ErrorKind kind) {
        List<AnswerOutput> outputs = new ArrayList<>();
        mTracker.onEvent(0, new AnswerEvent.AttemptStarted(attempt, "r." + attempt), outputs::add);
        mTracker.onEvent(0, new AnswerEvent.AttemptFailed(attempt, kind), outputs::add);
        return outputs.get(0);
    }

    /** A command that was refused before it ran must be sent to another server. */
    @Test
    void refusedCommandIsSentToAnotherServer() {
        assertInstanceOf(AnswerOutput.Rerun.class, fail(1, ErrorKind.OVERLOADED));
        assertInstanceOf(AnswerOutput.Rerun.class, fail(2, ErrorKind.NO_BACKEND));
    }

    /** A command that may have run must not run again. */
    @Test
    void commandThatMayHaveRunIsNotTriedAgain() {
        assertInstanceOf(AnswerOutput.Rerun.class, fail(1, ErrorKind.OVERLOADED));
        AnswerOutput.Fail failed =
                assertInstanceOf(AnswerOutput.Fail.class, fail(2, ErrorKind.BACKEND_FAILED));
        assertEquals(RunState.UNKNOWN, failed.runState());
    }
}
