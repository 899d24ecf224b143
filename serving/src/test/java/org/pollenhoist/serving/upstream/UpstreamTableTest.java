package org.pollenhoist.serving.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;

class UpstreamTableTest {

    private static final MonotonicTime NOW = MonotonicTime.of(Duration.ofSeconds(100));

    private final UpstreamTable upstreams = new UpstreamTable();

    private void put(long started, boolean isLeaving) {
        upstreams.put(
                new UpstreamDescription(
                        "i-1",
                        started,
                        "app",
                        "v1",
                        new InetSocketAddress(1),
                        "north",
                        4,
                        isLeaving,
                        0,
                        List.of(),
                        Set.of()),
                NOW);
    }

    @Nested
    class Leaving {

        /** Guards against new requests to an upstream whose entry of before comes back with a copy of the store. */
        @Test
        void should_last_for_the_rest_of_a_lifetime_when_an_older_entry_comes_back() {
            put(1, true);

            put(1, false);

            assertThat(upstreams.usable("app")).isEmpty();
        }

        @Test
        void should_end_with_the_lifetime() {
            put(1, true);

            put(2, false);

            assertThat(upstreams.usable("app")).hasSize(1);
        }
    }
}
