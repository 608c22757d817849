package org.hemlockrack.config;

import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;

/**
 * Copy of the configuration on an instance without the replicated log. It accepts higher versions
 * only. Not thread-safe; the returned configurations are immutable.
 */
public final class ConfigReplica {
    private Configuration mConfiguration = Configuration.empty();
    private long mVersion;

    private ConfigReplica() {}

    /** Returns a copy at version 0, the empty configuration. */
    public static ConfigReplica create() {
        return new ConfigReplica();
    }

    /** Returns the highest accepted version; 0 if there is none. */
    public long version() {
        return mVersion;
    }

    /** Returns the configuration of that version. */
    public Configuration configuration() {
        return mConfiguration;
    }

    /**
     * Accepts a version from a peer if it is higher.
     *
     * @param version its number
     * @param toml its document
     * @return whether it was accepted; false if the version is not higher
     * @throws HemlockrackException as {@link Configuration#parseToml}, or with {@link
     *     ErrorKind#INTERNAL} if the version in force was sent with another document; the copy is
     *     then unchanged
     */
    public boolean acceptIfNewer(long version, String toml) {
        if (version < mVersion) {
            return false;
        }
        Configuration offered = Configuration.parseToml(toml);
        return acceptIfNewer(version, offered);
    }

    /**
     * Accepts a parsed version if it is higher.
     *
     * @param version its number
     * @param offered the configuration
     * @return whether it was accepted; false if the version is not higher
     * @throws HemlockrackException with {@link ErrorKind#INTERNAL} if the version in force was
     *     offered with another document
     */
    public boolean acceptIfNewer(long version, Configuration offered) {
        if (version > mVersion) {
            mVersion = version;
            mConfiguration = offered;
            return true;
        }
        if (version == mVersion && !offered.equals(mConfiguration)) {
            throw HemlockrackException.of(
                    ErrorKind.INTERNAL, String.format(ErrorText.CONFIG_SAME_VERSION, version));
        }
        return false;
    }
}
