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
 * Combines several replicated states behind one log. The first byte of a command is the id of the
 * state that applies it; the rest is that state's own command. A snapshot contains the snapshots of
 * all states.
 */
public final class CompositeState implements ReplicatedState {
    private final TreeMap<Byte, ReplicatedState> mStates;

    private CompositeState(Map<Byte, ReplicatedState> states) {
        mStates = new TreeMap<>(states);
    }

    /**
     * Creates a composite.
     *
     * @param states the states by id
     * @return the composite
     */
    public static CompositeState of(Map<Byte, ReplicatedState> states) {
        return new CompositeState(states);
    }

    /**
     * Builds a command for the log.
     *
     * @param id id of the state
     * @param command the state's own command
     * @return the command with the id in front
     */
    public static byte[] encodeCommand(byte id, byte[] command) {
        byte[] bytes = new byte[command.length + 1];
        bytes[0] = id;
        System.arraycopy(command, 0, bytes, 1, command.length);
        return bytes;
    }

    /**
     * Returns whether a command starts with the id of a known state. Proposers check this before
     * they propose.
     *
     * @param command the command with the id in front
     * @return true if the state is known
     */
    public boolean accepts(byte[] command) {
        return command.length > 0 && mStates.containsKey(command[0]);
    }

    /**
     * {@inheritDoc}
     *
     * <p>A command for an unknown state changes nothing and has an empty result. An exception would
     * stop every voter at that entry, and again after each restart.
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
        parts.forEach((id, part) -> out.put(id).putInt(part.length).put(part));
        return out.array();
    }

    /**
     * {@inheritDoc}
     *
     * @throws HemlockrackException with {@link ErrorKind#STORAGE_DAMAGED} if the bytes do not hold
     *     exactly the states of this composite
     */
    @Override
    public void restore(byte[] snapshot) {
        Map<Byte, byte[]> parts = new TreeMap<>();
        try {
            ByteBuffer in = ByteBuffer.wrap(snapshot);
            int count = in.getInt();
            for (int i = 0; i < count; i++) {
                byte id = in.get();
                parts.put(id, readPart(in, in.getInt()));
            }
        } catch (BufferUnderflowException e) {
            throw damaged(e);
        }
        if (!parts.keySet().equals(mStates.keySet())) {
            throw damaged(null);
        }
        parts.forEach((id, part) -> state(id).restore(part));
    }

    private static byte[] readPart(ByteBuffer in, int sizeBytes) {
        if (sizeBytes < 0 || sizeBytes > in.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] part = new byte[sizeBytes];
        in.get(part);
        return part;
    }

    private static HemlockrackException damaged(@Nullable Exception cause) {
        String text = "the states in the snapshot differ from those of this software version";
        return cause == null
                ? HemlockrackException.of(ErrorKind.STORAGE_DAMAGED, text)
                : HemlockrackException.of(ErrorKind.STORAGE_DAMAGED, text, cause);
    }

    private ReplicatedState state(byte id) {
        ReplicatedState state = mStates.get(id);
        if (state == null) {
            throw new IllegalArgumentException("unknown state " + id);
        }
        return state;
    }
}
