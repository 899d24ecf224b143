package org.pollenhoist.serving.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.catalog.Engine;
import org.pollenhoist.serving.catalog.Model;
import org.pollenhoist.serving.catalog.Service;
import org.pollenhoist.serving.request.PromptSegment;
import org.pollenhoist.serving.upstream.HeldModel;
import org.pollenhoist.serving.upstream.LoadSnapshot;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamDescription;
import org.pollenhoist.serving.upstream.UpstreamTable;

class UpstreamSelectorTest {

    private static final MonotonicTime NOW = MonotonicTime.of(Duration.ofSeconds(100));
    private static final Duration OBJECTIVE = Duration.ofMillis(800);
    private static final Service ENGINES = new Service(
            "llm", 100, Optional.of(new Engine(4, 10_000, 220, 8, 2, Map.of("m", model("m"), "rare", model("rare")))));
    private static final Service PLAIN = new Service("app", 100, Optional.empty());

    private final UpstreamTable table = new UpstreamTable();
    private final UpstreamSelector selector = new UpstreamSelector("north", new PrefillRateEstimator());

    private static Model model(String name) {
        return new Model(name, 70, Duration.ofSeconds(8), Duration.ofSeconds(2), Duration.ofSeconds(1), 10, 1);
    }

    private Upstream add(String name, String domain, Set<String> localCopies, HeldModel... models) {
        table.put(
                new UpstreamDescription(
                        name,
                        1,
                        models.length == 0 && localCopies.isEmpty() ? "app" : "llm",
                        "v1",
                        new InetSocketAddress(1),
                        domain,
                        2,
                        false,
                        0,
                        List.of(models),
                        localCopies),
                NOW);
        return table.find(name).orElseThrow();
    }

    private Upstream engine(String name) {
        return add(name, "north", Set.of("m"), new HeldModel("m", 1, Set.of("a1")));
    }

    private static SelectionRequest request(String service, String model, String adapter, Duration callerTimeout) {
        return request(service, model, adapter, callerTimeout, Set.of());
    }

    private static SelectionRequest request(
            String service, String model, String adapter, Duration callerTimeout, Set<String> avoided) {
        return new SelectionRequest(
                service,
                model,
                adapter,
                1_000,
                1_000,
                1_200,
                List.of(new PromptSegment("p", 800)),
                1,
                NOW,
                NOW.plus(callerTimeout),
                OBJECTIVE,
                new TreeMap<>(Map.of(1, OBJECTIVE)),
                NOW.plus(callerTimeout),
                Set.of(),
                Set.of(),
                avoided);
    }

    private Selection select(String model, String adapter, Duration callerTimeout) {
        return selector.select(request("llm", model, adapter, callerTimeout), ENGINES, table, NOW);
    }

    private static String upstreamOf(Selection selection) {
        assertThat(selection).isInstanceOf(Selection.Send.class);
        return ((Selection.Send) selection).upstream().description().identifier();
    }

    @Nested
    class FailedAttempts {

        private Selection selectAvoiding(String upstream) {
            SelectionRequest request = request("llm", "m", "", Duration.ofSeconds(5), Set.of(upstream));
            return selector.select(request, ENGINES, table, NOW);
        }

        @Test
        void should_prefer_another_upstream_when_one_has_failed_the_request() {
            engine("failed");
            engine("other").begin(5_000, 5_100);

            assertThat(upstreamOf(selectAvoiding("failed"))).isEqualTo("other");
        }

        @Test
        void should_select_the_failed_upstream_again_when_it_is_the_only_one_with_the_model() {
            engine("failed");
            add("empty", "north", Set.of("m"));

            assertThat(upstreamOf(selectAvoiding("failed"))).isEqualTo("failed");
        }
    }

    @Nested
    class BackOff {

        @Test
        void should_select_another_upstream_when_one_is_in_its_back_off_period() {
            engine("paused").backOffUntil(NOW.plus(Duration.ofSeconds(1)));
            engine("other").begin(5_000, 5_100);

            assertThat(upstreamOf(select("m", "", Duration.ofSeconds(5)))).isEqualTo("other");
        }

        @Test
        void should_wait_when_the_back_off_period_of_the_only_upstream_ends_in_time() {
            engine("paused").backOffUntil(NOW.plus(Duration.ofMillis(300)));

            assertThat(select("m", "", Duration.ofSeconds(5))).isEqualTo(new Selection.Wait("upstreams_paused", false));
        }

        @Test
        void should_refuse_until_the_first_back_off_period_ends_when_that_is_too_late() {
            engine("longer").backOffUntil(NOW.plus(Duration.ofSeconds(9)));
            engine("shorter").backOffUntil(NOW.plus(Duration.ofSeconds(4)));

            assertThat(select("m", "", Duration.ofSeconds(5)))
                    .isEqualTo(new Selection.Refuse("upstreams_paused", Duration.ofSeconds(4)));
        }

        @Test
        void should_select_the_upstream_again_when_its_back_off_period_has_ended() {
            engine("paused").backOffUntil(NOW);

            assertThat(upstreamOf(select("m", "", Duration.ofSeconds(5)))).isEqualTo("paused");
        }

        @Test
        void should_apply_back_off_periods_to_plain_services() {
            add("paused", "north", Set.of()).backOffUntil(NOW.plus(Duration.ofSeconds(3)));

            assertThat(selector.select(request("app", "", "", Duration.ofSeconds(2)), PLAIN, table, NOW))
                    .isEqualTo(new Selection.Refuse("upstreams_paused", Duration.ofSeconds(3)));
        }
    }

    @Nested
    class Priorities {

        private static final Duration LONG_OBJECTIVE = Duration.ofSeconds(6);
        private static final Duration URGENT_OBJECTIVE = Duration.ofMillis(600);
        private static final TreeMap<Integer, Duration> SHORTEST_OBJECTIVES =
                new TreeMap<>(Map.of(0, URGENT_OBJECTIVE, 1, OBJECTIVE));

        private Selection selectAfter(Duration waited, int priority, Duration objective) {
            SelectionRequest request = new SelectionRequest(
                    "llm",
                    "m",
                    "",
                    1_000,
                    1_000,
                    1_200,
                    List.of(),
                    priority,
                    NOW,
                    NOW.plus(Duration.ofSeconds(15)),
                    objective,
                    SHORTEST_OBJECTIVES,
                    NOW.plus(Duration.ofSeconds(15)),
                    Set.of(),
                    Set.of(),
                    Set.of());
            return selector.select(request, ENGINES, table, NOW.plus(waited));
        }

        /** Adds a backlog of the given prefill time to the engine; a prompt of a thousand tokens takes 50 ms. */
        private void addBacklog(long milliseconds) {
            table.find("e").orElseGet(() -> engine("e")).begin(milliseconds * 20, 1);
        }

        @Test
        void should_send_urgent_requests_when_the_backlog_is_within_their_own_latency_objective() {
            addBacklog(480);
            assertThat(upstreamOf(selectAfter(Duration.ZERO, 0, URGENT_OBJECTIVE)))
                    .isEqualTo("e");

            addBacklog(180);

            assertThat(upstreamOf(selectAfter(Duration.ZERO, 1, OBJECTIVE))).isEqualTo("e");
            assertThat(selectAfter(Duration.ZERO, 0, URGENT_OBJECTIVE)).isInstanceOf(Selection.Refuse.class);
        }

        @Test
        void should_hold_back_latency_tolerant_requests_when_the_backlog_would_delay_urgent_ones() {
            addBacklog(500);

            assertThat(selectAfter(Duration.ZERO, 1, LONG_OBJECTIVE))
                    .isEqualTo(new Selection.Wait("engines_backlogged", false));
            assertThat(selectAfter(Duration.ZERO, 0, LONG_OBJECTIVE))
                    .isEqualTo(new Selection.Wait("engines_backlogged", false));
        }

        @Test
        void should_send_a_latency_tolerant_request_when_it_has_waited_long_and_can_still_be_in_time() {
            addBacklog(2_000);

            assertThat(selectAfter(Duration.ofSeconds(3), 1, LONG_OBJECTIVE)).isInstanceOf(Selection.Send.class);
            assertThat(selectAfter(Duration.ofSeconds(4), 1, LONG_OBJECTIVE)).isInstanceOf(Selection.Refuse.class);
        }

        @Test
        void should_refuse_at_once_when_the_latency_objective_cannot_be_met() {
            addBacklog(720);

            assertThat(selectAfter(Duration.ZERO, 1, OBJECTIVE)).isInstanceOf(Selection.Refuse.class);
        }
    }

    /** The engine processes twenty prompt tokens per millisecond here. */
    @Nested
    class PromptLengths {

        private Selection select(long promptTokens, long meanTokens, Duration objective, Duration waited) {
            SelectionRequest request = new SelectionRequest(
                    "llm",
                    "m",
                    "",
                    promptTokens,
                    meanTokens,
                    1_200,
                    List.of(),
                    1,
                    NOW,
                    NOW.plus(Duration.ofSeconds(15)),
                    objective,
                    new TreeMap<>(Map.of(1, OBJECTIVE)),
                    NOW.plus(Duration.ofSeconds(15)),
                    Set.of(),
                    Set.of(),
                    Set.of());
            return selector.select(request, ENGINES, table, NOW.plus(waited));
        }

        private void addBacklog(long milliseconds) {
            engine("e").begin(milliseconds * 20, 1);
        }

        @Test
        void should_admit_a_long_prompt_when_one_of_mean_length_would_be_in_time() {
            addBacklog(400);

            assertThat(upstreamOf(select(10_000, 2_000, OBJECTIVE, Duration.ZERO)))
                    .isEqualTo("e");
        }

        @Test
        void should_refuse_a_short_prompt_when_one_of_mean_length_would_be_late() {
            addBacklog(400);

            assertThat(select(100, 10_000, OBJECTIVE, Duration.ZERO)).isInstanceOf(Selection.Refuse.class);
        }

        @Test
        void should_send_a_request_that_will_be_late_when_the_engine_would_be_idle_otherwise() {
            addBacklog(100);

            assertThat(upstreamOf(select(20_000, 20_000, OBJECTIVE, Duration.ZERO)))
                    .isEqualTo("e");
            assertThat(upstreamOf(select(1_000, 1_000, OBJECTIVE, Duration.ofSeconds(3))))
                    .isEqualTo("e");
        }

        @Test
        void should_not_hold_back_a_latency_tolerant_request_with_a_long_prompt_when_the_engine_is_idle() {
            engine("e");

            assertThat(upstreamOf(select(20_000, 20_000, OBJECTIVE.multipliedBy(4), Duration.ZERO)))
                    .isEqualTo("e");
        }

        @Test
        void should_hold_back_a_latency_tolerant_request_only_while_its_own_prefill_leaves_time() {
            addBacklog(500);

            assertThat(select(20_000, 20_000, OBJECTIVE.multipliedBy(4), Duration.ofMillis(500)))
                    .isEqualTo(new Selection.Wait("engines_backlogged", false));
            assertThat(upstreamOf(select(20_000, 20_000, OBJECTIVE.multipliedBy(4), Duration.ofMillis(700))))
                    .isEqualTo("e");
        }
    }

    @Nested
    class Engines {

        @Test
        void should_prefer_the_engine_with_fewer_tokens_awaiting_prefill() {
            engine("busy").begin(5_000, 5_100);
            engine("idle");

            assertThat(upstreamOf(select("m", "", Duration.ofSeconds(5)))).isEqualTo("idle");
        }

        @Test
        void should_include_the_load_of_peers() {
            engine("one").updatePeerLoad("peer", new LoadSnapshot(1, 5_000, 5_100, NOW));
            engine("two");

            assertThat(upstreamOf(select("m", "", Duration.ofSeconds(5)))).isEqualTo("two");
        }

        @Test
        void should_ignore_the_load_of_a_peer_when_its_report_is_outdated() {
            engine("one").updatePeerLoad("peer", new LoadSnapshot(1, 5_000, 5_100, NOW.plus(Duration.ofSeconds(-2))));
            engine("two").begin(100, 200);

            assertThat(upstreamOf(select("m", "", Duration.ofSeconds(5)))).isEqualTo("one");
        }

        @Test
        void should_prefer_the_engine_that_has_cached_the_prompt() {
            engine("one");
            engine("two").keptPrompts().add("m", "", List.of(new PromptSegment("p", 800)), NOW);

            assertThat(upstreamOf(select("m", "", Duration.ofSeconds(5)))).isEqualTo("two");
        }

        @Test
        void should_select_only_an_engine_that_has_loaded_the_adapter() {
            add("without", "north", Set.of("m"), new HeldModel("m", 1, Set.of()));
            engine("with").begin(5_000, 5_100);

            assertThat(upstreamOf(select("m", "a1", Duration.ofSeconds(5)))).isEqualTo("with");
        }

        @Test
        void should_wait_when_the_only_engine_is_at_capacity() {
            Upstream only = engine("one");
            for (int count = 0; count < 4; count++) {
                only.begin(10, 20);
            }

            assertThat(select("m", "", Duration.ofSeconds(5))).isEqualTo(new Selection.Wait("engines_full", false));
        }

        @Test
        void should_refuse_when_the_first_token_would_come_after_the_caller_has_disconnected() {
            engine("one").begin(90_000, 100);

            assertThat(select("m", "", Duration.ofSeconds(3))).isInstanceOf(Selection.Refuse.class);
        }
    }

    @Nested
    class Overload {

        /** Ten times the capacity of one engine: admitted requests are on time, the others are refused at once. */
        @Test
        void should_keep_admitted_requests_on_time_when_the_engine_is_overloaded() {
            Upstream only = engine("one");
            int admitted = 0;
            int refused = 0;
            for (int count = 0; count < 100; count++) {
                switch (select("m", "", Duration.ofSeconds(3))) {
                    case Selection.Send send -> {
                        assertThat(send.expectedWait()).isLessThanOrEqualTo(OBJECTIVE);
                        only.begin(1_000, 0);
                        only.end(0, 0);
                        admitted++;
                    }
                    case Selection.Refuse refusal -> refused++;
                    case Selection.Wait wait ->
                        throw new AssertionError("a request waits although it can't be served later either: " + wait);
                }
            }
            assertThat(admitted).isPositive();
            assertThat(refused).isPositive();
        }
    }

    @Nested
    class NotLoaded {

        @Test
        void should_wait_for_an_adapter() {
            engine("one");

            assertThat(select("m", "a9", Duration.ofSeconds(5)))
                    .isEqualTo(new Selection.Wait("adapter_not_loaded", true));
        }

        @Test
        void should_wait_for_a_model_that_can_be_loaded_in_time() {
            engine("one");

            assertThat(select("rare", "", Duration.ofSeconds(15)))
                    .isEqualTo(new Selection.Wait("model_not_loaded", true));
        }

        @Test
        void should_refuse_at_once_when_a_load_takes_longer_than_the_caller_waits() {
            engine("one");

            assertThat(select("rare", "", Duration.ofSeconds(5)))
                    .isEqualTo(new Selection.Refuse("model_not_loaded", Duration.ofSeconds(8)));
        }

        @Test
        void should_wait_for_a_load_in_progress_that_completes_in_time() {
            engine("one").setLoadingModels(Map.of("rare", NOW.plus(Duration.ofSeconds(1))));

            assertThat(select("rare", "", Duration.ofSeconds(5)))
                    .isEqualTo(new Selection.Wait("model_not_loaded", true));
        }

        @Test
        void should_refuse_when_the_model_is_not_configured() {
            engine("one");

            assertThat(select("unknown", "", Duration.ofSeconds(5))).isInstanceOf(Selection.Refuse.class);
        }
    }

    @Nested
    class PlainServices {

        private Selection select() {
            return selector.select(request("app", "", "", Duration.ofSeconds(2)), PLAIN, table, NOW);
        }

        @Test
        void should_prefer_the_own_failure_domain_when_equally_loaded() {
            add("far", "south", Set.of());
            add("near", "north", Set.of());

            assertThat(upstreamOf(select())).isEqualTo("near");
        }

        @Test
        void should_stay_in_the_own_failure_domain_while_slots_are_free_there() {
            add("near", "north", Set.of()).begin(0, 0);
            add("far", "south", Set.of());

            assertThat(upstreamOf(select())).isEqualTo("near");
        }

        @Test
        void should_select_another_failure_domain_when_all_slots_of_the_own_one_are_taken() {
            Upstream near = add("near", "north", Set.of());
            near.begin(0, 0);
            near.begin(0, 0);
            add("far", "south", Set.of());

            assertThat(upstreamOf(select())).isEqualTo("far");
        }

        @Test
        void should_prefer_the_upstream_with_free_slots() {
            Upstream busy = add("busy", "north", Set.of());
            busy.begin(0, 0);
            busy.begin(0, 0);
            add("free", "north", Set.of());

            assertThat(upstreamOf(select())).isEqualTo("free");
        }

        @Test
        void should_prefer_a_healthy_upstream_when_another_one_fails() {
            Upstream failing = add("failing", "north", Set.of());
            add("sound", "south", Set.of());
            for (int count = 0; count < 5; count++) {
                failing.record(true, NOW);
            }

            assertThat(upstreamOf(select())).isEqualTo("sound");
        }

        @Test
        void should_refuse_when_there_is_no_upstream() {
            assertThat(select()).isInstanceOf(Selection.Refuse.class);
        }
    }
}
