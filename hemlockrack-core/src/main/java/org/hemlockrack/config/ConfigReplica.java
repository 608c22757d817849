package org.hemlockrack.config;

import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;

/**
 * The copy of an instance that does not hold the log. It accepts only higher versions and never
 * goes back. Not thread-safe; the returned configurations are.
 */
public final class ConfigReplica {
    private Configuration mConfiguration = Configuration.empty();
    private long mVersion;

    private ConfigReplica() {}

    /** Returns a copy that holds version 0. */
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
     * Offers a version that a peer sent.
     *
     * @param version its number
     * @param toml its document
     * @return whether it was accepted; false if the version is not higher
     * @throws HemlockrackException as {@link Configuration#parseToml}, or with {@link
     *     ErrorKind#INTERNAL} if the version in force was sent with another document; the copy is
     *     then unchanged
     */
    public boolean offer(long version, String toml) {
        if (version < mVersion) {
            return false;
        }
        Configuration offered = Configuration.parseToml(toml);
        return offer(version, offered);
    }

    /**
     * Offers a version that this process parsed or applied itself.
     *
     * @param version its number
     * @param offered the configuration
     * @return whether it was accepted; false if the version is not higher
     * @throws HemlockrackException with {@link ErrorKind#INTERNAL} if the version in force was
     *     offered with another document
     */
    public boolean offer(long version, Configuration offered) {
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
