package org.pollenhoist.serving.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
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

    private void put(long started, Duration coldRemaining) {
        upstreams.put(
                new UpstreamDescription(
                        "i-1",
                        started,
                        "app",
                        "v1",
                        new InetSocketAddress(1),
                        "north",
                        4,
                        false,
                        0,
                        List.of(),
                        Set.of(),
                        coldRemaining),
                NOW);
    }

    private Upstream upstream() {
        return upstreams.find("i-1").orElseThrow();
    }

    @Nested
    class Evacuation {

        @Test
        void should_take_the_upstreams_of_the_failure_domain_out_of_use_and_keep_what_runs() {
            put(1, false);
            upstream().begin(10, 20);

            upstreams.setEvacuated("north", true, NOW);

            assertThat(upstreams.usable("app")).isEmpty();
            assertThat(upstreams.runningIn("north", NOW)).isEqualTo(1);
            assertThat(upstream().hasEndedUnexpectedly()).isFalse();
        }

        @Test
        void should_hold_for_upstreams_that_start_during_it() {
            upstreams.setEvacuated("north", true, NOW);

            put(1, false);

            assertThat(upstreams.usable("app")).isEmpty();
        }

        @Test
        void should_not_hold_for_other_failure_domains() {
            upstreams.setEvacuated("south", true, NOW);

            put(1, false);

            assertThat(upstreams.usable("app")).hasSize(1);
        }

        @Test
        void should_end_when_it_is_taken_back() {
            put(1, false);
            upstreams.setEvacuated("north", true, NOW);

            upstreams.setEvacuated("north", false, NOW);

            assertThat(upstreams.usable("app")).hasSize(1);
            assertThat(upstreams.evacuatedDomains()).isEmpty();
        }
    }

    @Nested
    class ColdUpstreams {

        private static final Duration COLD = Duration.ofSeconds(3);

        @Test
        void should_be_limited_as_their_service_is_configured() {
            upstreams.limitColdUpstreams(service -> OptionalDouble.of(8));

            put(1, COLD);

            assertThat(upstream().rateLimit().limitPerSecond(NOW)).contains(8.0);
            assertThat(upstream().acceptsRequests(NOW)).isFalse();
            assertThat(upstream().acceptsRequests(NOW.plus(COLD))).isTrue();
        }

        @Test
        void should_be_limited_when_they_become_cold_again() {
            upstreams.limitColdUpstreams(service -> OptionalDouble.of(8));
            put(1, Duration.ZERO);

            put(1, COLD);

            assertThat(upstream().acceptsRequests(NOW)).isFalse();
        }

        @Test
        void should_be_used_as_others_without_a_limit_in_the_configuration() {
            put(1, COLD);

            assertThat(upstream().acceptsRequests(NOW)).isTrue();
        }
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
