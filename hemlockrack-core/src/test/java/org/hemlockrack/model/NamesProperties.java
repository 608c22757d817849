package org.hemlockrack.model;

import static org.junit.jupiter.api.Assertions.assertThrows;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.StringLength;
import org.hemlockrack.errors.HemlockrackException;

class NamesProperties {
    /** Guards against names with line feeds, which would corrupt log lines, headers and paths. */
    @Property(tries = 200)
    void namesWithLineFeedsAreRefused(@ForAll @StringLength(max = 20) String text) {
        String name = text + "\n";
        assertThrows(HemlockrackException.class, () -> InstanceId.of(name));
    }
}
