package org.hemlockrack.daemon.controller;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.function.LongSupplier;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.quarantine.Verdict;

/** HTTP endpoints by which operators see the prompt parts that are held back, and lift them. */
final class QuarantineEndpoints {
    private static final String PATH = "/operator/v1/quarantine";
    private static final String LIFT = "/lift";
    private static final int OK = 200;

    private final ControllerQuarantine mQuarantine;
    private final LongSupplier mNowNanos;

    private QuarantineEndpoints(ControllerQuarantine quarantine, LongSupplier nowNanos) {
        mQuarantine = quarantine;
        mNowNanos = nowNanos;
    }

    static QuarantineEndpoints create(ControllerQuarantine quarantine, LongSupplier nowNanos) {
        return new QuarantineEndpoints(quarantine, nowNanos);
    }

    /** Returns whether a path belongs to these endpoints. */
    boolean handles(String path) {
        return path.equals(PATH) || path.startsWith(PATH + "/");
    }

    /** Responds to a request whose path {@linkplain #handles belongs} to these endpoints. */
    void handle(HttpCall call, Responder responder) {
        String path = call.path();
        if (path.equals(PATH) && call.method().equals("GET")) {
            responder.sendJsonDocument(OK, list().toString());
            return;
        }
        boolean isLift = path.length() > PATH.length() + LIFT.length() && path.endsWith(LIFT);
        if (!isLift || !call.method().equals("POST")) {
            responder.sendError(
                    ErrorKind.METHOD_NOT_ALLOWED,
                    String.format(ErrorText.QUARANTINE_CALLS, call.method(), path, PATH),
                    0);
            return;
        }
        String encoded = path.substring(PATH.length() + 1, path.length() - LIFT.length());
        lift(URLDecoder.decode(encoded, StandardCharsets.UTF_8), responder);
    }

    /**
     * Lifts the decision that is in force when the call arrives, unless the caller has left: it may
     * have lifted that decision at another controller, and a later one must stay.
     */
    private void lift(String part, Responder responder) {
        Verdict verdict = mQuarantine.verdict(part);
        if (verdict == null || !verdict.reason().holds()) {
            responder.sendError(
                    ErrorKind.NOT_FOUND, String.format(ErrorText.PART_NOT_HELD, part), 0);
            return;
        }
        responder
                .checkConnected()
                .thenAccept(
                        connected -> {
                            if (connected) {
                                lift(verdict, responder);
                            }
                        });
    }

    private void lift(Verdict verdict, Responder responder) {
        if (!mQuarantine.lift(mNowNanos.getAsLong(), verdict)) {
            responder.sendError(
                    ErrorKind.NOT_READY,
                    String.format(ErrorText.PART_DECIDED_ANEW, verdict.part()),
                    0);
            return;
        }
        responder.sendJson(OK, "{}");
    }

    private ObjectNode list() {
        long nowNanos = mNowNanos.getAsLong();
        Instant now = Instant.now();
        List<Verdict> verdicts =
                mQuarantine.verdicts().stream()
                        .sorted(
                                Comparator.comparing((Verdict each) -> !each.isInForce(nowNanos))
                                        .thenComparing(Verdict::part))
                        .toList();
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        ArrayNode parts = json.putArray("parts");
        for (Verdict verdict : verdicts) {
            parts.addObject()
                    .put("part", verdict.part())
                    .put("held", verdict.isInForce(nowNanos))
                    .put("reason", verdict.reason().name())
                    .put("crashes", verdict.crashes())
                    .put("holds", verdict.holds())
                    .put("since", now.minusNanos(nowNanos - verdict.decidedNanos()).toString())
                    .put("until", now.plusNanos(verdict.untilNanos() - nowNanos).toString());
        }
        return json;
    }
}
