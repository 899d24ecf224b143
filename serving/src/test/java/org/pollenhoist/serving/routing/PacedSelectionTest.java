package org.pollenhoist.serving.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.catalog.Engine;
import org.pollenhoist.serving.catalog.Model;
import org.pollenhoist.serving.catalog.Service;
import org.pollenhoist.serving.upstream.HeldModel;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamDescription;
import org.pollenhoist.serving.upstream.UpstreamTable;

/** Selects among upstreams of which some are slower than usual at the moment, and say so. */
class PacedSelectionTest {

    private static final MonotonicTime NOW = MonotonicTime.of(Duration.ofSeconds(100));
    private static final Duration OBJECTIVE = Duration.ofMillis(500);
    private static final Model MODEL =
            new Model("m", 70, Duration.ofSeconds(8), Duration.ofSeconds(2), Duration.ofSeconds(1), 0, 1);
    private static final Service ENGINES =
            new Service("llm", 100, Optional.of(new Engine(48, 115_000, 200, 8, 24, Map.of("m", MODEL))));
    private static final Service PLAIN = new Service("app", 100, Optional.empty());

    private final UpstreamTable table = new UpstreamTable();
    private final UpstreamSelector selector = new UpstreamSelector("north", new PrefillRateEstimator());

    private Upstream add(String name, String service) {
        table.put(
                new UpstreamDescription(
                        name,
                        1,
                        service,
                        "v1",
                        new InetSocketAddress(1),
                        "north",
                        6,
                        false,
                        0,
                        service.equals("llm") ? List.of(new HeldModel("m", 1, Set.of())) : List.of(),
                        Set.of()),
                NOW);
        return table.find(name).orElseThrow();
    }

    private Upstream select(Service service, MonotonicTime now) {
        SelectionRequest request = new SelectionRequest(
                service.name(),
                service.engine().isPresent() ? "m" : "",
                "",
                2_000,
                2_000,
                2_200,
                List.of(),
                0,
                now,
                now.plus(Duration.ofSeconds(4)),
                OBJECTIVE,
                new TreeMap<>(Map.of(0, OBJECTIVE)),
                now.plus(Duration.ofSeconds(2)),
                Set.of(),
                Set.of(),
                Set.of());
        return ((Selection.Send) selector.select(request, service, table, now)).upstream();
    }

    @Nested
    class Engines {

        @Test
        void should_be_passed_over_when_their_pace_costs_more_than_the_backlog_of_others() {
            Upstream slow = add("slow", "llm");
            Upstream busy = add("busy", "llm");
            busy.begin(1_000, 1_100);
            slow.pace().observe(4, NOW);

            assertThat(select(ENGINES, NOW)).isSameAs(busy);
        }

        @Test
        void should_be_used_again_when_the_statement_is_old() {
            Upstream slow = add("slow", "llm");
            add("busy", "llm").begin(1_000, 1_100);
            slow.pace().observe(4, NOW);

            assertThat(select(ENGINES, NOW.plus(Duration.ofSeconds(2)))).isSameAs(slow);
        }
    }

    @Nested
    class PlainServices {

        @Test
        void should_be_passed_over_when_another_one_finishes_sooner() {
            Upstream slow = add("slow", "app");
            Upstream busy = add("busy", "app");
            busy.begin(0, 0);
            slow.pace().observe(3, NOW);

            assertThat(select(PLAIN, NOW)).isSameAs(busy);
        }
    }

    /** Guards against a slow machine that keeps getting its part of the requests until answers are late. */
    @Nested
    class UnevenServers {

        private static final int SERVERS = 4;
        private static final int REQUESTS = 400;
        private static final long WORK_MILLISECONDS = 40;
        private static final double SLOW = 5;

        /** Plays requests before single-slot servers of which one is slow; returns how many end in time. */
        private int endedInTime(boolean isPaceStated, long seed) {
            Random random = new Random(seed);
            UpstreamTable servers = new UpstreamTable();
            MonotonicTime[] freeAt = new MonotonicTime[SERVERS];
            for (int index = 0; index < SERVERS; index++) {
                freeAt[index] = NOW;
                servers.put(
                        new UpstreamDescription(
                                String.valueOf(index),
                                1,
                                "app",
                                "v1",
                                new InetSocketAddress(1),
                                "north",
                                6,
                                false,
                                0,
                                List.of(),
                                Set.of()),
                        NOW);
            }
            java.util.PriorityQueue<Ended> running = new java.util.PriorityQueue<>();
            int inTime = 0;
            MonotonicTime now = NOW;
            for (int request = 0; request < REQUESTS; request++) {
                now = now.plus(Duration.ofMillis(5 + random.nextInt(20)));
                while (!running.isEmpty() && running.peek().at().isBefore(now)) {
                    running.poll().upstream().end(0, 0);
                }
                if (isPaceStated) {
                    servers.find("0").orElseThrow().pace().observe(SLOW, now);
                }
                Upstream chosen = choose(servers, now);
                int index = Integer.parseInt(chosen.description().identifier());
                long work = Math.round(WORK_MILLISECONDS * (index == 0 ? SLOW : 1));
                MonotonicTime begin = freeAt[index].isBefore(now) ? now : freeAt[index];
                freeAt[index] = begin.plus(Duration.ofMillis(work));
                chosen.begin(0, 0);
                running.add(new Ended(freeAt[index], chosen));
                inTime += freeAt[index].since(now).compareTo(Duration.ofMillis(120)) <= 0 ? 1 : 0;
            }
            return inTime;
        }

        private Upstream choose(UpstreamTable servers, MonotonicTime now) {
            SelectionRequest request = new SelectionRequest(
                    "app",
                    "",
                    "",
                    0,
                    0,
                    0,
                    List.of(),
                    0,
                    now,
                    now.plus(Duration.ofSeconds(4)),
                    Duration.ofMillis(120),
                    new TreeMap<>(),
                    now.plus(Duration.ofSeconds(2)),
                    Set.of(),
                    Set.of(),
                    Set.of());
            return ((Selection.Send) selector.select(request, PLAIN, servers, now)).upstream();
        }

        private record Ended(MonotonicTime at, Upstream upstream) implements Comparable<Ended> {

            @Override
            public int compareTo(Ended other) {
                return at.compareTo(other.at);
            }
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4})
        void should_end_more_requests_in_time_when_the_slow_one_says_so(long seed) {
            assertThat(endedInTime(true, seed)).isGreaterThan(endedInTime(false, seed));
        }
    }
}
