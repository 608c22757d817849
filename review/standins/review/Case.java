package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** What all cases share: the fleet, an operator, workers and the exit code. */
abstract class Case {
    private static final int RULE_HELD = 0;
    private static final int RULE_BROKEN = 1;
    private static final int DID_NOT_RUN = 2;

    final boolean mTrouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Worker> mWorkers = new ArrayList<>();
    EventRecord mRecord;
    Fleet mFleet;
    Operator mOperator;

    /** The case cannot run, because the system did not come up. */
    static final class NotRun extends RuntimeException {
        private static final long serialVersionUID = 1L;

        NotRun(String message) {
            super(message);
        }
    }

    /** Returns whether the rule was broken. */
    abstract boolean play() throws Exception;

    /** Arguments: the repository and the folder of the case. */
    static void run(Case played, String[] args, int gateways) throws Exception {
        Path folder = Files.createTempDirectory("review-case");
        int code;
        try (EventRecord record = new EventRecord(Path.of(args[1]).resolve("record.txt"));
                Fleet fleet = new Fleet(Path.of(args[0]), folder, record, gateways)) {
            played.mRecord = record;
            played.mFleet = fleet;
            played.mOperator = new Operator(fleet, record);
            record.say("disruption: %s", played.mTrouble ? "yes" : "no");
            try {
                fleet.startAll();
                boolean broken = played.play();
                record.say(broken ? "the rule was broken" : "the rule held");
                code = broken ? RULE_BROKEN : RULE_HELD;
            } catch (NotRun e) {
                record.say("the case did not run: %s", e.getMessage());
                code = DID_NOT_RUN;
            } catch (Exception e) {
                // An exit by an uncaught exception would have the code of a broken rule.
                record.say("the case did not run: %s", e);
                code = DID_NOT_RUN;
            }
        }
        if (System.getenv("KEEP") == null) {
            delete(folder);
        } else {
            System.out.println("logs: " + folder);
        }
        Runtime.getRuntime().halt(code);
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }

    Worker addWorker(String id, int zone, String service, int capacity) throws IOException {
        Worker worker = new Worker(mFleet, mRecord, id, zone, service, capacity);
        mWorkers.add(worker);
        return worker;
    }

    /** Publishes the configuration and waits until the gateways serve. */
    void awaitServing() throws InterruptedException {
        if (mOperator.send("PUT", "/config", Operator.configuration(), 1, 30) == null) {
            throw new NotRun("the first configuration was not acknowledged");
        }
        if (!mFleet.awaitReady(30)) {
            throw new NotRun("a gateway is not ready");
        }
        // Heartbeats of all workers reach the gateways within this time.
        Thread.sleep(3_000);
        for (Worker worker : mWorkers) {
            if (!worker.isRegistered()) {
                throw new NotRun(worker.mId + " is not registered");
            }
        }
    }

    /** Returns the fields of a request by a client of the first tenant. */
    static List<Http.Field> clientFields(String attemptId, int deadlineMillis) {
        return clientFields(attemptId, deadlineMillis, "key-1");
    }

    /** Returns the fields of a request by a client with a key. */
    static List<Http.Field> clientFields(String attemptId, int deadlineMillis, String key) {
        return List.of(
                new Http.Field("Host", "case.example"),
                new Http.Field("Authorization", "Bearer " + key),
                new Http.Field("Hemlockrack-Attempt-Id", attemptId),
                new Http.Field("Hemlockrack-Deadline-Ms", Integer.toString(deadlineMillis)));
    }
}
