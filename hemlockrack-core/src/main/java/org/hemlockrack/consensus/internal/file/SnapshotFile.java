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

/** The snapshot files: a record with the description, then the bytes of the state. */
final class SnapshotFile {
    private static final String PREFIX = "snapshot-";
    private static final String SUFFIX = ".snap";
    private static final String PART = "snapshot.part";

    private final Folder mFolder;
    private @Nullable SnapshotMeta mMeta;
    private @Nullable FileChannel mPart;

    SnapshotFile(Folder folder) {
        mFolder = folder;
    }

    private static String name(long index) {
        return PREFIX + String.format("%020d", index) + SUFFIX;
    }

    @Nullable SnapshotMeta meta() {
        return mMeta;
    }

    /** Finds the newest snapshot, checks it as a whole and removes what is older. */
    void open() throws IOException {
        mFolder.delete(PART);
        List<String> names = mFolder.names(PREFIX, SUFFIX);
        if (names.isEmpty()) {
            return;
        }
        String newest = names.get(names.size() - 1);
        Path file = mFolder.resolve(newest);
        ByteBuffer in = ByteBuffer.wrap(Files.readAllBytes(file));
        byte[] header = Records.next(file, in);
        if (header == null) {
            throw Records.damaged(file, 0, "description");
        }
        SnapshotMeta meta = WireCodec.snapshot(WireCodec.decode(header, new WireSnapshotMeta()));
        byte[] state = new byte[in.remaining()];
        in.get(state);
        if (!fits(meta, state) || !newest.equals(name(meta.index()))) {
            throw Records.damaged(file, Records.HEADER_BYTES + header.length, "state");
        }
        mMeta = meta;
        removeOlder();
    }

    private static boolean fits(SnapshotMeta meta, byte[] state) {
        return state.length == meta.sizeBytes() && Records.crc32c(state) == meta.crc32c();
    }

    void save(SnapshotMeta meta, byte[] state) throws IOException {
        ByteBuffer header = Records.encode(WireCodec.encode(WireCodec.snapshot(meta)));
        mFolder.replace(name(meta.index()), header, ByteBuffer.wrap(state));
        mMeta = meta;
        removeOlder();
    }

    private void removeOlder() throws IOException {
        SnapshotMeta meta = mMeta;
        for (String name : mFolder.names(PREFIX, SUFFIX)) {
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
                    throw Records.damaged(file, position, "state");
                }
            }
        }
        return part.array();
    }

    void storeChunk(long offset, byte[] data) throws IOException {
        FileChannel part = mPart;
        if (offset == 0 || part == null) {
            closePart();
            part =
                    FileChannel.open(
                            mFolder.resolve(PART),
                            StandardOpenOption.CREATE,
                            StandardOpenOption.TRUNCATE_EXISTING,
                            StandardOpenOption.READ,
                            StandardOpenOption.WRITE);
            mPart = part;
        }
        part.position(offset);
        Folder.writeFully(part, ByteBuffer.wrap(data));
    }

    /** Checks the received parts and makes them the newest snapshot. */
    boolean install(SnapshotMeta meta) throws IOException {
        closePart();
        byte[] state = Files.readAllBytes(mFolder.resolve(PART));
        boolean fits = fits(meta, state);
        if (fits) {
            save(meta, state);
        }
        mFolder.delete(PART);
        return fits;
    }

    void closePart() throws IOException {
        FileChannel part = mPart;
        mPart = null;
        if (part != null) {
            part.close();
        }
    }
}
