package org.hemlockrack.consensus.disk;

import java.nio.file.Path;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A change of names that no sync of the folder has covered.
 *
 * @param from the name that is removed, or null
 * @param to the name that is added, or null
 * @param file the file that has the name
 */
record NameChange(@Nullable Path from, @Nullable Path to, FaultyFile file) {
    static NameChange create(Path path, FaultyFile file) {
        return new NameChange(null, path, file);
    }

    void applyTo(Map<Path, FaultyFile> names) {
        if (from != null) {
            // Another file may have taken the name.
            names.remove(from, file);
        }
        if (to != null) {
            names.put(to, file);
        }
    }

    boolean isIn(Path folder) {
        return from != null && folder.equals(from.getParent())
                || to != null && folder.equals(to.getParent());
    }

    boolean isCreationOf(FaultyFile created) {
        return from == null && file == created;
    }
}
