package org.hemlockrack.membership;

import java.util.Arrays;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.Names;

/**
 * A small register that the whole fleet shares; of two facts with one key the higher version wins.
 *
 * @param key names the register
 * @param version version of the payload; the writer must use a version only once
 * @param payload opaque, at most {@link #MAX_PAYLOAD_BYTES}; must not be changed
 * @param trafficClass how urgently it is spread
 */
public record Fact(String key, long version, byte[] payload, TrafficClass trafficClass) {
    /** Longest payload; a fact must fit into one message of the smallest budget. */
    public static final int MAX_PAYLOAD_BYTES = 256;

    /** Key of the fact that carries the number of the accepted configuration. */
    public static final String CONFIG_KEY = "config";

    /** Rejects an invalid key or a long payload. */
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
     * Creates the fact that carries a configuration number.
     *
     * @param version the number
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
