package org.pollenhoist.experiments.configuration;

import java.nio.charset.StandardCharsets;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.configuration.Digests;
import org.pollenhoist.configuration.KeyRecord;

/** Records of keys that nobody holds. */
final class SyntheticKeys {

    private SyntheticKeys() {}

    static KeyRecord record(int number) {
        String digest = Digests.sha256Text(("key " + number).getBytes(StandardCharsets.UTF_8));
        return new KeyRecord(digest.substring(0, 12), TeamName.of("team-0"), digest);
    }
}
