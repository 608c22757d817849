package org.hemlockrack.claims;

import java.util.regex.Pattern;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.WorkspaceId;

/**
 * An idempotency key within its workspace.
 *
 * @param workspace the workspace
 * @param key value of the {@code Idempotency-Key} header, 1 to 200 printable ASCII characters
 */
public record ClaimKey(WorkspaceId workspace, String key) {
    private static final Pattern VALID = Pattern.compile("[ -~]{1,200}");

    /** Rejects a malformed key. */
    public ClaimKey {
        if (!VALID.matcher(key).matches()) {
            throw HemlockrackException.of(ErrorKind.BAD_REQUEST, ErrorText.CLAIM_KEY_MALFORMED);
        }
    }
}
