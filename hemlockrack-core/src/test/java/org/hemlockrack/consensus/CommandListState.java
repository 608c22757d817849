package org.hemlockrack.consensus;

import java.nio.ByteBuffer;
import java.util.LinkedHashSet;

/** A state that records all commands, which are numbers, in the order of their application. */
final class CommandListState implements ReplicatedState {
    private final Oracle mOracle;
    final LinkedHashSet<Long> mCommands = new LinkedHashSet<>();
    long mIndex;

    CommandListState(Oracle oracle) {
        mOracle = oracle;
    }

    @Override
    public byte[] apply(long index, long leaderTimeMillis, byte[] command) {
        long value = ByteBuffer.wrap(command).getLong();
        mOracle.onApplied(index, leaderTimeMillis, value);
        mCommands.add(value);
        mIndex = index;
        return command;
    }

    @Override
    public byte[] snapshot() {
        ByteBuffer out = ByteBuffer.allocate(8 + 8 * mCommands.size()).putLong(mIndex);
        mCommands.forEach(out::putLong);
        return out.array();
    }

    @Override
    public void restore(byte[] snapshot) {
        ByteBuffer in = ByteBuffer.wrap(snapshot);
        mCommands.clear();
        mIndex = in.getLong();
        while (in.hasRemaining()) {
            mCommands.add(in.getLong());
        }
    }
}
