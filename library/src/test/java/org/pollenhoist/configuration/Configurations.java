package org.pollenhoist.configuration;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Example configurations for tests. */
public final class Configurations {

    public static final String SMALL = """
            [teams.crews]
            tokens_per_second = 100
            burst_tokens = 1000
            profiles = ["quay-briefing"]
            [profiles.quay-briefing]
            priority = 7
            deadline_seconds = 30
            models = ["scribe"]
            routes = ["bookings"]
            key_freshness_seconds = 60
            [models.scribe]
            version = "1"
            pool = "scribe"
            memory_gigabytes = 20
            adapters = ["greek", "english"]
            adapter_memory_megabytes = 50
            [routes.bookings]
            path_prefix = "/bookings"
            pool = "berth"
            tokens_per_request = 10
            [upstreams.scribe-1]
            kind = "engine"
            pool = "scribe"
            address = "127.0.0.1"
            port = 9001
            failure_domain = "piraeus"
            accelerators = 1
            memory_gigabytes = 80
            refuses_old_fencing = true
            [upstreams.berth-1]
            kind = "plain_service"
            pool = "berth"
            address = "127.0.0.1"
            port = 9002
            failure_domain = "lavrio"
            [weight_store]
            load_starts_per_second = 2
            loads_at_full_speed = 17
            adapter_loads_in_flight = 140
            """;

    private Configurations() {}

    public static Configuration small() {
        return read(SMALL);
    }

    /** The small configuration with another rate of its team. */
    public static Configuration withRate(int tokensPerSecond) {
        return read(SMALL.replace("tokens_per_second = 100\n", "tokens_per_second = " + tokensPerSecond + "\n"));
    }

    /** The small configuration with keys. */
    public static Configuration withKeys(Map<String, KeyRecord> keys) {
        Configuration small = small();
        return new Configuration(
                small.teams(),
                small.profiles(),
                small.models(),
                small.routes(),
                small.upstreams(),
                small.weightStore(),
                keys);
    }

    /** The small configuration with another rate of its team, as an installed revision. */
    public static InstalledConfiguration revision(long revision, int tokensPerSecond) {
        byte[] content = ConfigurationCodec.encode(withRate(tokensPerSecond));
        return InstalledConfiguration.of(
                revision, "change-" + revision, Digests.sha256Text(content), Compression.deflate(content));
    }

    static Configuration read(String text) {
        try {
            Path file = Files.createTempFile("configuration", ".toml");
            try {
                return ConfigurationReader.read(List.of(Files.writeString(file, text)));
            } finally {
                Files.delete(file);
            }
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
