package org.hemlockrack.consensus;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.jspecify.annotations.Nullable;

/**
 * Several states fed by one log. The first byte of a command names its slice; the rest is the
 * slice's command. A snapshot holds the snapshots of all slices.
 */
public final class CompositeState implements ReplicatedState {
    private final TreeMap<Byte, ReplicatedState> mStates;

    private CompositeState(Map<Byte, ReplicatedState> states) {
        mStates = new TreeMap<>(states);
    }

    /**
     * Creates a composite.
     *
     * @param states the state of each slice byte
     * @return the composite
     */
    public static CompositeState of(Map<Byte, ReplicatedState> states) {
        return new CompositeState(states);
    }

    /**
     * Builds a command for the log.
     *
     * @param slice the slice byte
     * @param command the slice's command
     * @return the command with the slice byte in front
     */
    public static byte[] encodeCommand(byte slice, byte[] command) {
        byte[] bytes = new byte[command.length + 1];
        bytes[0] = slice;
        System.arraycopy(command, 0, bytes, 1, command.length);
        return bytes;
    }

    /**
     * Returns whether a command names a known slice; proposers check this first.
     *
     * @param command the command
     * @return true if it does
     */
    public boolean accepts(byte[] command) {
        return command.length > 0 && mStates.containsKey(command[0]);
    }

    /**
     * {@inheritDoc}
     *
     * <p>A command that names no known slice changes nothing and has an empty result. Throwing
     * would stop every voter at that entry, again after each restart.
     */
    @Override
    public byte[] apply(long index, long leaderTimeMillis, byte[] command) {
        if (!accepts(command)) {
            return new byte[0];
        }
        byte[] rest = Arrays.copyOfRange(command, 1, command.length);
        return state(command[0]).apply(index, leaderTimeMillis, rest);
    }

    @Override
    public int replayCost(byte[] command) {
        if (!accepts(command)) {
            return 1;
        }
        return state(command[0]).replayCost(Arrays.copyOfRange(command, 1, command.length));
    }

    @Override
    public byte[] snapshot() {
        Map<Byte, byte[]> parts = new TreeMap<>();
        int sizeBytes = Integer.BYTES;
        for (Map.Entry<Byte, ReplicatedState> each : mStates.entrySet()) {
            byte[] part = each.getValue().snapshot();
            parts.put(each.getKey(), part);
            sizeBytes = Math.addExact(sizeBytes, 1 + Integer.BYTES + part.length);
        }
        ByteBuffer out = ByteBuffer.allocate(sizeBytes);
        out.putInt(parts.size());
        parts.forEach((slice, part) -> out.put(slice).putInt(part.length).put(part));
        return out.array();
    }

    /**
     * {@inheritDoc}
     *
     * @throws HemlockrackException with {@link ErrorKind#STORAGE_DAMAGED} if the bytes do not hold
     *     exactly the slices of this composite
     */
    @Override
    public void restore(byte[] snapshot) {
        Map<Byte, byte[]> parts = new TreeMap<>();
        try {
            ByteBuffer in = ByteBuffer.wrap(snapshot);
            int count = in.getInt();
            for (int i = 0; i < count; i++) {
                byte slice = in.get();
                parts.put(slice, part(in, in.getInt()));
            }
        } catch (BufferUnderflowException e) {
            throw damaged(e);
        }
        if (!parts.keySet().equals(mStates.keySet())) {
            throw damaged(null);
        }
        parts.forEach((slice, part) -> state(slice).restore(part));
    }

    private static byte[] part(ByteBuffer in, int sizeBytes) {
        if (sizeBytes < 0 || sizeBytes > in.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] part = new byte[sizeBytes];
        in.get(part);
        return part;
    }

    private static HemlockrackException damaged(@Nullable Exception cause) {
        String text = "the snapshot does not hold the slices of this version";
        return cause == null
                ? HemlockrackException.of(ErrorKind.STORAGE_DAMAGED, text)
                : HemlockrackException.of(ErrorKind.STORAGE_DAMAGED, text, cause);
    }

    private ReplicatedState state(byte slice) {
        ReplicatedState state = mStates.get(slice);
        if (state == null) {
            throw new IllegalArgumentException("no slice " + slice);
        }
        return state;
    }
}
