package org.hemlockrack.membership;

import java.util.Arrays;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.Names;

/**
 * A small register that gossip replicates to the whole fleet. Of two facts with the same key, the
 * one with the higher version wins.
 *
 * @param key name of the register
 * @param version version of the payload; the writer must use a version only once
 * @param payload opaque, at most {@link #MAX_PAYLOAD_BYTES}; must not be changed
 * @param trafficClass priority with which it is gossiped
 */
public record Fact(String key, long version, byte[] payload, TrafficClass trafficClass) {
    /** Maximum payload; a fact must fit into one message under the smallest budget. */
    public static final int MAX_PAYLOAD_BYTES = 256;

    /** Key of the fact whose version is that of the newest accepted configuration. */
    public static final String CONFIG_KEY = "config";

    /** Rejects an invalid key, a negative version or a payload that is too long. */
    public Fact {
        Names.requireValid("fact key", key);
        if (payload.length > MAX_PAYLOAD_BYTES || version < 0) {
            String text =
                    String.format(
                            "fact \"%s\" version %d has %d bytes; at most %d are allowed",
                            key, version, payload.length, MAX_PAYLOAD_BYTES);
            throw HemlockrackException.of(ErrorKind.BAD_REQUEST, text);
        }
    }

    /**
     * Creates the fact that announces a configuration version.
     *
     * @param version version of the configuration
     * @return the fact
     */
    public static Fact ofConfigVersion(long version) {
        return new Fact(CONFIG_KEY, version, new byte[0], TrafficClass.CONFIG);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Fact fact
                && key.equals(fact.key)
                && version == fact.version
                && trafficClass == fact.trafficClass
                && Arrays.equals(payload, fact.payload);
    }

    @Override
    public int hashCode() {
        return key.hashCode() * 31 + Long.hashCode(version);
    }
}
