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
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.request.UpstreamLifetime;

class UpstreamTableTest {

    private static final MonotonicTime NOW = MonotonicTime.of(Duration.ofSeconds(100));

    private final UpstreamTable upstreams = new UpstreamTable();

    private void put(long started, boolean isLeaving) {
        put("i-1", started, isLeaving);
    }

    private void put(String name, long started, boolean isLeaving) {
        upstreams.put(
                new UpstreamDescription(
                        name,
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

    /** What peers are told that may not have it from the store yet. */
    @Nested
    class RecentDepartures {

        private static UpstreamLifetime lifetime(String name, long started) {
            return new UpstreamLifetime(UpstreamName.of(name), started);
        }

        @Test
        void should_hold_an_upstream_that_leaves_by_its_entry_for_as_long_as_it_is_registered() {
            put(1, false);
            assertThat(upstreams.recentDepartures(NOW)).isEmpty();

            put(1, true);

            assertThat(upstreams.recentDepartures(NOW.plus(Duration.ofMinutes(5))))
                    .containsExactly(lifetime("i-1", 1));
        }

        @Test
        void should_hold_one_that_registers_as_leaving() {
            put(1, true);

            assertThat(upstreams.recentDepartures(NOW)).containsExactly(lifetime("i-1", 1));
        }

        @Test
        void should_leave_out_one_that_said_so_itself_since_that_is_told_anyway() {
            put(1, true);
            upstream().markLeaving();

            assertThat(upstreams.recentDepartures(NOW)).isEmpty();
        }

        @Test
        void should_hold_a_removed_one_for_ten_seconds() {
            put(1, false);
            upstreams.remove("i-1", "entry removed", NOW);

            assertThat(upstreams.recentDepartures(NOW.plus(Duration.ofMillis(9_999))))
                    .containsExactly(lifetime("i-1", 1));
            assertThat(upstreams.recentDepartures(NOW.plus(Duration.ofSeconds(10))))
                    .isEmpty();
        }

        @Test
        void should_drop_one_whose_entry_is_written_again() {
            put(1, false);
            upstreams.remove("i-1", "entry removed", NOW);

            put(1, false);

            assertThat(upstreams.recentDepartures(NOW)).isEmpty();
        }

        @Test
        void should_hold_the_former_lifetime_of_one_that_started_again() {
            put(1, false);

            put(2, false);

            assertThat(upstreams.recentDepartures(NOW)).containsExactly(lifetime("i-1", 1));
        }

        @Test
        void should_hold_a_dozen_of_many_the_newest_first() {
            for (int index = 0; index < 2_200; index++) {
                put("i-" + index, 1, false);
                upstreams.remove("i-" + index, "entry removed", NOW);
            }

            List<UpstreamLifetime> told = upstreams.recentDepartures(NOW);

            assertThat(told).hasSize(12).startsWith(lifetime("i-2199", 1), lifetime("i-2198", 1));
        }
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
