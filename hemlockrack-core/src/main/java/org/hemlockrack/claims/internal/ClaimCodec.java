package org.hemlockrack.claims.internal;

import com.google.common.hash.HashCode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hemlockrack.claims.AttemptId;
import org.hemlockrack.claims.BodyHash;
import org.hemlockrack.claims.ClaimCommand;
import org.hemlockrack.claims.ClaimKey;
import org.hemlockrack.claims.ClaimResult;
import org.hemlockrack.claims.RecordedAnswer;
import org.hemlockrack.codec.StructCodec;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.WorkspaceId;
import org.hemlockrack.wire.AnswerData;
import org.hemlockrack.wire.AnswerOutcomeData;
import org.hemlockrack.wire.AttemptData;
import org.hemlockrack.wire.ClaimCommandData;
import org.hemlockrack.wire.ClaimCommandKind;
import org.hemlockrack.wire.ClaimOutcomeData;
import org.hemlockrack.wire.ClaimResultData;
import org.hemlockrack.wire.HeaderData;

/** Encodes and decodes claim commands, results and their parts as Thrift structs. */
public final class ClaimCodec {
    /**
     * Maximum size of an encoded command or result. It covers the largest configurable answer body
     * (64 KiB), its headers and the other fields.
     */
    public static final int MAX_COMMAND_BYTES = 128 << 10;

    private static final int MAX_HEADERS = 32;

    private ClaimCodec() {}

    /**
     * Encodes a command.
     *
     * @param command the command
     * @return its bytes
     */
    public static byte[] encodeCommand(ClaimCommand command) {
        ClaimCommandData data =
                new ClaimCommandData()
                        .setWorkspace(command.key().workspace().value())
                        .setKey(command.key().key())
                        .setAttempt(toData(command.attempt()))
                        .setLowestPending(command.lowestPending());
        if (command instanceof ClaimCommand.Claim claim) {
            data.setKind(ClaimCommandKind.CLAIM);
            data.setBodyHash(claim.bodyHash().value().asBytes());
            claim.takeOverFrom().ifPresent(from -> data.setTakeOverFrom(toData(from)));
        } else if (command instanceof ClaimCommand.Finish finish) {
            data.setKind(ClaimCommandKind.FINISH).setAnswer(toData(finish.answer()));
        } else {
            data.setKind(ClaimCommandKind.RELEASE);
        }
        return StructCodec.encode(data);
    }

    /**
     * Decodes a command.
     *
     * @param bytes the bytes
     * @return the command
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if they are malformed
     */
    public static ClaimCommand decodeCommand(byte[] bytes) {
        ClaimCommandData data =
                StructCodec.decode(bytes, MAX_COMMAND_BYTES, new ClaimCommandData());
        ClaimKey key = decodeKey(data.getWorkspace(), data.getKey());
        AttemptId attempt = fromData(StructCodec.require("attempt", data.getAttempt()));
        long lowest = data.getLowestPending();
        if (lowest < 0) {
            throw malformed("lowest pending sequence", "negative");
        }
        ClaimCommandKind kind = StructCodec.require("kind", data.getKind());
        return switch (kind) {
            case CLAIM -> decodeClaim(data, key, attempt, lowest);
            case FINISH ->
                    new ClaimCommand.Finish(key, attempt, lowest, answerFromData(data.getAnswer()));
            case RELEASE -> new ClaimCommand.Release(key, attempt, lowest);
        };
    }

    /**
     * Encodes a result.
     *
     * @param result the result
     * @return its bytes
     */
    public static byte[] encodeResult(ClaimResult result) {
        ClaimResultData data = new ClaimResultData().setOutcome(toOutcomeData(result));
        if (result instanceof ClaimResult.Finished finished) {
            data.setAnswer(toData(finished.answer()));
        } else if (result instanceof ClaimResult.InProgress progress) {
            data.setHolder(toData(progress.holder()));
        } else if (result instanceof ClaimResult.StaleAttempt stale) {
            data.setMinimumIncarnation(stale.minimumIncarnation());
        }
        return StructCodec.encode(data);
    }

    /**
     * Decodes a result.
     *
     * @param bytes the bytes
     * @return the result
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if they are malformed
     */
    public static ClaimResult decodeResult(byte[] bytes) {
        ClaimResultData data = StructCodec.decode(bytes, MAX_COMMAND_BYTES, new ClaimResultData());
        ClaimOutcomeData outcome = StructCodec.require("outcome", data.getOutcome());
        return switch (outcome) {
            case GRANTED -> new ClaimResult.Granted();
            case FINISHED -> new ClaimResult.Finished(answerFromData(data.getAnswer()));
            case IN_PROGRESS ->
                    new ClaimResult.InProgress(
                            fromData(StructCodec.require("holder", data.getHolder())));
            case BODY_MISMATCH -> new ClaimResult.BodyMismatch();
            case FULL -> new ClaimResult.Full();
            case STALE_ATTEMPT -> new ClaimResult.StaleAttempt(data.getMinimumIncarnation());
            case RECORDED -> new ClaimResult.Recorded();
            case RELEASED -> new ClaimResult.Released();
            case NOT_HELD -> new ClaimResult.NotHeld();
            case MALFORMED -> new ClaimResult.Malformed();
        };
    }

    /**
     * Converts an attempt to a struct.
     *
     * @param attempt the attempt
     * @return the struct
     */
    public static AttemptData toData(AttemptId attempt) {
        return new AttemptData(attempt.holder().value(), attempt.incarnation(), attempt.sequence());
    }

    /**
     * Converts a struct to an attempt.
     *
     * @param data the struct
     * @return the attempt
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if it is malformed
     */
    public static AttemptId fromData(AttemptData data) {
        InstanceId holder = InstanceId.of(StructCodec.require("holder", data.getHolder()));
        return new AttemptId(holder, data.getIncarnation(), data.getSequence());
    }

    /**
     * Converts an answer to a struct.
     *
     * @param answer the answer
     * @return the struct
     */
    public static AnswerData toData(RecordedAnswer answer) {
        List<HeaderData> headers = new ArrayList<>();
        for (RecordedAnswer.Header header : answer.headers()) {
            headers.add(new HeaderData(header.name(), header.value()));
        }
        return new AnswerData()
                .setOutcome(AnswerOutcomeData.valueOf(answer.outcome().name()))
                .setStatus(answer.status())
                .setHeaders(headers)
                .setBody(answer.body());
    }

    /**
     * Converts a struct to an answer.
     *
     * @param data the struct, null if the sender did not set it
     * @return the answer
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if it is malformed
     */
    public static RecordedAnswer answerFromData(AnswerData data) {
        StructCodec.require("answer", data);
        List<RecordedAnswer.Header> headers = new ArrayList<>();
        for (HeaderData header : StructCodec.require("headers", data.getHeaders())) {
            headers.add(
                    new RecordedAnswer.Header(
                            StructCodec.require("header name", header.getName()),
                            StructCodec.require("header value", header.getValue())));
        }
        if (headers.size() > MAX_HEADERS) {
            throw malformed("answer", "more than " + MAX_HEADERS + " headers");
        }
        AnswerOutcomeData outcome = StructCodec.require("answer outcome", data.getOutcome());
        return new RecordedAnswer(
                RecordedAnswer.Outcome.valueOf(outcome.name()),
                data.getStatus(),
                headers,
                StructCodec.require("answer body", data.getBody()));
    }

    /**
     * Decodes a claim key.
     *
     * @param workspace workspace, null if the sender did not set it
     * @param key idempotency key, null if the sender did not set it
     * @return the claim key
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if it is malformed
     */
    public static ClaimKey decodeKey(String workspace, String key) {
        return new ClaimKey(
                WorkspaceId.of(StructCodec.require("workspace", workspace)),
                StructCodec.require("key", key));
    }

    /**
     * Decodes a body hash.
     *
     * @param bytes the bytes, null if the sender did not set them
     * @return the hash
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if it is malformed
     */
    public static BodyHash decodeBodyHash(byte[] bytes) {
        if (StructCodec.require("body hash", bytes).length == 0) {
            throw malformed("body hash", "empty");
        }
        return new BodyHash(HashCode.fromBytes(bytes));
    }

    private static ClaimCommand decodeClaim(
            ClaimCommandData data, ClaimKey key, AttemptId attempt, long lowest) {
        if (lowest > attempt.sequence()) {
            throw malformed("claim", "its sequence is below the lowest pending one");
        }
        Optional<AttemptId> from =
                Optional.ofNullable(data.getTakeOverFrom()).map(ClaimCodec::fromData);
        return new ClaimCommand.Claim(
                key, attempt, lowest, decodeBodyHash(data.getBodyHash()), from);
    }

    private static ClaimOutcomeData toOutcomeData(ClaimResult result) {
        if (result instanceof ClaimResult.Granted) {
            return ClaimOutcomeData.GRANTED;
        }
        if (result instanceof ClaimResult.Finished) {
            return ClaimOutcomeData.FINISHED;
        }
        if (result instanceof ClaimResult.InProgress) {
            return ClaimOutcomeData.IN_PROGRESS;
        }
        if (result instanceof ClaimResult.BodyMismatch) {
            return ClaimOutcomeData.BODY_MISMATCH;
        }
        if (result instanceof ClaimResult.Full) {
            return ClaimOutcomeData.FULL;
        }
        if (result instanceof ClaimResult.StaleAttempt) {
            return ClaimOutcomeData.STALE_ATTEMPT;
        }
        if (result instanceof ClaimResult.Recorded) {
            return ClaimOutcomeData.RECORDED;
        }
        if (result instanceof ClaimResult.Released) {
            return ClaimOutcomeData.RELEASED;
        }
        return result instanceof ClaimResult.NotHeld
                ? ClaimOutcomeData.NOT_HELD
                : ClaimOutcomeData.MALFORMED;
    }

    private static HemlockrackException malformed(String what, String reason) {
        return HemlockrackException.of(
                ErrorKind.BAD_REQUEST, String.format(ErrorText.STRUCT_MALFORMED, what, reason));
    }
}
