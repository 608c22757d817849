package org.hemlockrack.consensus.internal.file;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import org.hemlockrack.consensus.HardState;
import org.hemlockrack.consensus.internal.WireCodec;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.wire.WireMeta;

/**
 * Content of the file {@code meta}.
 *
 * @param formVersion version of the form of all files in the folder
 * @param hardState replica id, term and vote
 * @param newestSegment first index of the newest segment, 0 if there is none
 */
record MetaFile(int formVersion, HardState hardState, long newestSegment) {
    static final String NAME = "meta";

    /** Version of the form that this release writes. */
    static final int FORM_VERSION = 2;

    /** The version that the file does not state. */
    static final int LEGACY_FORM_VERSION = 1;

    /**
     * Reads the file.
     *
     * @param folder the folder, for errors
     * @param file the file
     * @throws HemlockrackException with {@link ErrorKind#STORAGE_DAMAGED} if it is damaged, with
     *     {@link ErrorKind#SETTINGS_INVALID} if a newer release has written it
     */
    static MetaFile read(Path folder, Path file) throws IOException {
        byte[] payload = RecordFormat.readNext(file, ByteBuffer.wrap(Files.readAllBytes(file)));
        if (payload == null) {
            throw RecordFormat.damaged(file, 0, "incomplete record");
        }
        WireMeta wire = WireCodec.decode(payload, new WireMeta());
        int formVersion = wire.isSetFormVersion() ? wire.getFormVersion() : LEGACY_FORM_VERSION;
        if (formVersion > FORM_VERSION) {
            throw HemlockrackException.of(
                    ErrorKind.SETTINGS_INVALID,
                    String.format(ErrorText.STORE_NEWER, folder, formVersion, FORM_VERSION));
        }
        return new MetaFile(
                formVersion,
                new HardState(wire.getReplicaId(), wire.getTerm(), wire.getVote()),
                wire.getNewestSegment());
    }

    ByteBuffer encode() {
        WireMeta wire =
                new WireMeta(
                        hardState.replicaId(), hardState.term(), hardState.vote(), newestSegment);
        wire.setFormVersion(formVersion);
        return RecordFormat.encode(WireCodec.encode(wire));
    }
}
