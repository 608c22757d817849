package org.hemlockrack.claims;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.hemlockrack.claims.internal.Claim;
import org.hemlockrack.claims.internal.ClaimCodec;
import org.hemlockrack.claims.internal.ClaimTable;
import org.hemlockrack.claims.internal.HolderTable;
import org.hemlockrack.codec.StructCodec;
import org.hemlockrack.consensus.ReplicatedState;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.wire.ClaimData;
import org.hemlockrack.wire.ClaimSnapshotData;
import org.hemlockrack.wire.HolderData;

/**
 * Replicated state machine that holds the claims on idempotency keys. Each attempt is granted at
 * most once, and never after it was released. Claims expire by the leader timestamps in the log
 * only, so that all voters expire the same claims at the same entry.
 */
public final class ClaimState implements ReplicatedState {
    /** Not below the largest configurable size of all claims plus the overhead of encoding. */
    private static final int MAX_SNAPSHOT_BYTES = Integer.MAX_VALUE - 1024;

    private final Supplier<ClaimLimits> mLimits;
    private ClaimTable mClaims = ClaimTable.create();
    private HolderTable mHolders = HolderTable.create();
    private long mTimeMillis;

    private ClaimState(Supplier<ClaimLimits> limits) {
        mLimits = limits;
    }

    /**
     * Creates a state without claims.
     *
     * @param limits supplies the limits in force; they must be determined by the applied log
     *     entries alone, such as a configuration replicated by the same log, or the voters diverge
     * @return the state
     */
    public static ClaimState of(Supplier<ClaimLimits> limits) {
        return new ClaimState(limits);
    }

    /** Returns the number of claims. */
    public int size() {
        return mClaims.claims().size();
    }

    /** Returns the bytes accounted for all claims and recorded answers. */
    public long totalBytes() {
        return mClaims.totalBytes();
    }

    @Override
    public byte[] apply(long index, long leaderTimeMillis, byte[] command) {
        mTimeMillis = Math.max(mTimeMillis, leaderTimeMillis);
        mClaims.removeExpired(mTimeMillis - mLimits.get().expiryMillis());
        ClaimResult result;
        try {
            result = apply(ClaimCodec.decodeCommand(command));
        } catch (HemlockrackException e) {
            result = new ClaimResult.Malformed();
        }
        return ClaimCodec.encodeResult(result);
    }

    @Override
    public byte[] snapshot() {
        List<ClaimData> claims = new ArrayList<>(size());
        for (Map.Entry<ClaimKey, Claim> entry : mClaims.claims().entrySet()) {
            claims.add(toData(entry.getKey(), entry.getValue()));
        }
        return StructCodec.encode(
                new ClaimSnapshotData(
                        mTimeMillis, mHolders.incarnationFloor(), claims, mHolders.toData()));
    }

    /**
     * Replaces the whole state.
     *
     * @param snapshot bytes from {@link #snapshot}
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if they are malformed; the
     *     state is then unchanged
     */
    @Override
    public void restore(byte[] snapshot) {
        ClaimSnapshotData data =
                StructCodec.decode(snapshot, MAX_SNAPSHOT_BYTES, new ClaimSnapshotData());
        ClaimTable claims = ClaimTable.create();
        for (ClaimData claim : StructCodec.require("claims", data.getClaims())) {
            claims.put(ClaimCodec.decodeKey(claim.getWorkspace(), claim.getKey()), fromData(claim));
        }
        HolderTable holders = HolderTable.create();
        holders.setIncarnationFloor(data.getIncarnationFloor());
        for (HolderData holder : StructCodec.require("holders", data.getHolders())) {
            StructCodec.require("used sequences", holder.getUsed());
            StructCodec.require("holder", holder.getHolder());
            holders.add(holder);
        }
        mTimeMillis = data.getTimeMillis();
        mClaims = claims;
        mHolders = holders;
    }

    private ClaimResult apply(ClaimCommand command) {
        if (command instanceof ClaimCommand.Claim claim) {
            return applyClaim(claim);
        }
        if (command instanceof ClaimCommand.Finish finish) {
            return applyFinish(finish);
        }
        return applyRelease((ClaimCommand.Release) command);
    }

    private ClaimResult applyClaim(ClaimCommand.Claim command) {
        OptionalLong minimumIncarnation = mHolders.markUsed(command);
        if (minimumIncarnation.isPresent()) {
            return new ClaimResult.StaleAttempt(minimumIncarnation.getAsLong());
        }
        Claim existing = mClaims.find(command.key());
        if (existing == null) {
            return mClaims.hasRoomForClaim(command.key(), mLimits.get())
                    ? grantClaim(command)
                    : new ClaimResult.Full();
        }
        if (!existing.bodyHash().equals(command.bodyHash())) {
            return new ClaimResult.BodyMismatch();
        }
        if (existing.answer() != null) {
            return new ClaimResult.Finished(existing.answer());
        }
        boolean abandoned = command.takeOverFrom().equals(Optional.of(existing.attempt()));
        return abandoned ? grantClaim(command) : new ClaimResult.InProgress(existing.attempt());
    }

    private ClaimResult grantClaim(ClaimCommand.Claim command) {
        Claim claim = new Claim(command.bodyHash(), command.attempt(), mTimeMillis, null);
        mClaims.put(command.key(), claim);
        return new ClaimResult.Granted();
    }

    private ClaimResult applyFinish(ClaimCommand.Finish command) {
        Claim existing = mClaims.find(command.key());
        if (existing == null || !existing.attempt().equals(command.attempt())) {
            return new ClaimResult.NotHeld();
        }
        if (existing.isOpen()) {
            RecordedAnswer answer = command.answer();
            if (!mClaims.hasRoomForAnswer(answer.sizeBytes(), mLimits.get())) {
                answer = answer.withoutBody();
            }
            mClaims.put(
                    command.key(),
                    new Claim(existing.bodyHash(), existing.attempt(), mTimeMillis, answer));
        }
        return new ClaimResult.Recorded();
    }

    private ClaimResult applyRelease(ClaimCommand.Release command) {
        mHolders.markUsed(command);
        Claim existing = mClaims.find(command.key());
        if (existing == null || !existing.attempt().equals(command.attempt())) {
            return new ClaimResult.Released();
        }
        if (!existing.isOpen()) {
            return new ClaimResult.NotHeld();
        }
        mClaims.remove(command.key());
        return new ClaimResult.Released();
    }

    private static ClaimData toData(ClaimKey key, Claim claim) {
        ClaimData data =
                new ClaimData()
                        .setWorkspace(key.workspace().value())
                        .setKey(key.key())
                        .setBodyHash(claim.bodyHash().value().asBytes())
                        .setAttempt(ClaimCodec.toData(claim.attempt()))
                        .setStampMillis(claim.lastChangeMillis());
        if (claim.answer() != null) {
            data.setAnswer(ClaimCodec.toData(claim.answer()));
        }
        return data;
    }

    private static Claim fromData(ClaimData data) {
        return new Claim(
                ClaimCodec.decodeBodyHash(data.getBodyHash()),
                ClaimCodec.fromData(StructCodec.require("attempt", data.getAttempt())),
                data.getStampMillis(),
                data.isSetAnswer() ? ClaimCodec.answerFromData(data.getAnswer()) : null);
    }
}
