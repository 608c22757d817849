package org.hemlockrack.consensus.internal.file;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import org.hemlockrack.consensus.SnapshotMeta;
import org.hemlockrack.consensus.internal.WireCodec;
import org.hemlockrack.wire.WireSnapshotMeta;
import org.jspecify.annotations.Nullable;

/** The snapshot file: a record with the {@link SnapshotMeta}, followed by the state. */
final class SnapshotFile {
    static final String PREFIX = "snapshot-";
    static final String SUFFIX = ".snap";
    private static final String PART_FILE = "snapshot.part";

    private final DataFolder mFolder;
    private @Nullable SnapshotMeta mMeta;
    private @Nullable FileChannel mPartChannel;

    SnapshotFile(DataFolder folder) {
        mFolder = folder;
    }

    private static String name(long index) {
        return PREFIX + String.format("%020d", index) + SUFFIX;
    }

    @Nullable SnapshotMeta meta() {
        return mMeta;
    }

    /** Opens the newest snapshot, verifies its size and checksum and removes older ones. */
    void open() throws IOException {
        mFolder.delete(PART_FILE);
        mFolder.deleteTemporaryFiles(PREFIX, SUFFIX);
        List<String> names = mFolder.fileNames(PREFIX, SUFFIX);
        if (names.isEmpty()) {
            return;
        }
        mMeta = verify(mFolder.resolve(names.get(names.size() - 1)));
        removeOlder();
    }

    /**
     * Reads the description of a snapshot after verifying name, size and checksum.
     *
     * @throws org.hemlockrack.errors.HemlockrackException with {@link
     *     org.hemlockrack.errors.ErrorKind#STORAGE_DAMAGED} if they differ
     */
    static SnapshotMeta verify(Path file) throws IOException {
        ByteBuffer in = ByteBuffer.wrap(Files.readAllBytes(file));
        byte[] header = RecordFormat.readNext(file, in);
        if (header == null) {
            throw RecordFormat.damaged(file, 0, "description");
        }
        SnapshotMeta meta = WireCodec.snapshot(WireCodec.decode(header, new WireSnapshotMeta()));
        byte[] state = new byte[in.remaining()];
        in.get(state);
        if (!matches(meta, state) || !file.getFileName().toString().equals(name(meta.index()))) {
            throw RecordFormat.damaged(file, RecordFormat.HEADER_BYTES + header.length, "state");
        }
        return meta;
    }

    private static boolean matches(SnapshotMeta meta, byte[] state) {
        return state.length == meta.sizeBytes() && RecordFormat.crc32c(state) == meta.crc32c();
    }

    void save(SnapshotMeta meta, byte[] state) throws IOException {
        ByteBuffer header = RecordFormat.encode(WireCodec.encode(WireCodec.snapshot(meta)));
        mFolder.replace(name(meta.index()), header, ByteBuffer.wrap(state));
        mMeta = meta;
        removeOlder();
    }

    private void removeOlder() throws IOException {
        SnapshotMeta meta = mMeta;
        for (String name : mFolder.fileNames(PREFIX, SUFFIX)) {
            if (meta != null && !name.equals(name(meta.index()))) {
                mFolder.delete(name);
            }
        }
    }

    byte[] read(long offset, int maxBytes) throws IOException {
        SnapshotMeta meta = mMeta;
        if (meta == null) {
            throw new IllegalStateException("no snapshot");
        }
        Path file = mFolder.resolve(name(meta.index()));
        int sizeBytes = (int) Math.min(maxBytes, meta.sizeBytes() - offset);
        ByteBuffer part = ByteBuffer.allocate(sizeBytes);
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
            long position = channel.size() - meta.sizeBytes() + offset;
            while (part.hasRemaining()) {
                int count = channel.read(part, position + part.position());
                if (count < 0) {
                    throw RecordFormat.damaged(file, position, "state");
                }
            }
        }
        return part.array();
    }

    void storeChunk(long offset, byte[] data) throws IOException {
        FileChannel part = mPartChannel;
        if (offset == 0 || part == null) {
            closePartFile();
            part =
                    FileChannel.open(
                            mFolder.resolve(PART_FILE),
                            StandardOpenOption.CREATE,
                            StandardOpenOption.TRUNCATE_EXISTING,
                            StandardOpenOption.READ,
                            StandardOpenOption.WRITE);
            mPartChannel = part;
        }
        part.position(offset);
        DataFolder.writeFully(part, ByteBuffer.wrap(data));
    }

    /**
     * Makes the received chunks the newest snapshot. Returns false and discards them if their size
     * or checksum differs.
     */
    boolean install(SnapshotMeta meta) throws IOException {
        closePartFile();
        byte[] state = Files.readAllBytes(mFolder.resolve(PART_FILE));
        boolean isValid = matches(meta, state);
        if (isValid) {
            save(meta, state);
        }
        mFolder.delete(PART_FILE);
        return isValid;
    }

    void closePartFile() throws IOException {
        FileChannel part = mPartChannel;
        mPartChannel = null;
        if (part != null) {
            part.close();
        }
    }
}
