package org.hemlockrack.config;

import java.util.SplittableRandom;

/** Documents for tests. */
final class TestDocuments {
    static final String SMALL =
            """
            [services.assistant]
            kind = "model"
            models = ["m1"]
            default_version = "v1"

            [services.app]
            kind = "plain"

            [[services.app.routes]]
            method = "POST"
            prefix = "/bookings/search"
            idempotent = true

            [workspaces.kiosk]
            priority = "high"
            services = ["assistant", "app"]

            [workspaces.kiosk.promise]
            first_token_ms = 700
            """;

    private TestDocuments() {}

    /** Prints a valid document with workspaces, keys, zones and limits drawn from the seed. */
    static String random(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        StringBuilder text = new StringBuilder(SMALL);
        for (int i = 0; i < random.nextInt(1, 6); i++) {
            text.append("\n[workspaces.\"w.").append(i).append("\"]\nrequests_per_second = ");
            text.append(random.nextInt(1, 99)).append(random.nextBoolean() ? ".5\n" : "\n");
            BearerKey.SaltedHash key = BearerKey.create("k" + i, random).createSaltedHash(random);
            text.append("[workspaces.\"w.").append(i).append("\".keys.k").append(i);
            text.append("]\nsalt = \"").append(key.saltHex());
            text.append("\"\nhash = \"").append(key.hashHex()).append("\"\n");
        }
        for (int i = 0; i < random.nextInt(4); i++) {
            text.append("[zones.z").append(i).append("]\nregion = \"r1\"\nstate = ");
            text.append(random.nextBoolean() ? "\"in\"\n" : "\"out\"\n");
        }
        return text.append("[limits]\nidle_ms = ").append(random.nextInt(100, 9999)).toString();
    }
}
