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
import org.pollenhoist.serving.upstream.LoadSnapshot;
import org.pollenhoist.serving.upstream.ResidentModel;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamDescription;
import org.pollenhoist.serving.upstream.UpstreamTable;

class UpstreamSelectorTest {

    private static final MonotonicTime NOW = MonotonicTime.of(Duration.ofSeconds(100));
    private static final Duration GOAL = Duration.ofMillis(800);
    private static final Service ENGINES = new Service(
            "llm", 100, Optional.of(new Engine(4, 10_000, 220, 8, 2, Map.of("m", model("m"), "rare", model("rare")))));
    private static final Service PLAIN = new Service("app", 100, Optional.empty());

    private final UpstreamTable table = new UpstreamTable();
    private final UpstreamSelector selector = new UpstreamSelector("north", new PrefillRateEstimator());

    private static Model model(String name) {
        return new Model(name, 70, Duration.ofSeconds(8), Duration.ofSeconds(2), Duration.ofSeconds(1), 10, 1);
    }

    private Upstream add(String name, String domain, Set<String> copies, ResidentModel... models) {
        table.put(
                new UpstreamDescription(
                        name,
                        1,
                        models.length == 0 && copies.isEmpty() ? "app" : "llm",
                        new InetSocketAddress(1),
                        domain,
                        2,
                        false,
                        0,
                        List.of(models),
                        copies),
                NOW);
        return table.find(name).orElseThrow();
    }

    private Upstream engine(String name) {
        return add(name, "north", Set.of("m"), new ResidentModel("m", 1, Set.of("a1")));
    }

    private static SelectionRequest request(String service, String model, String adapter, Duration patience) {
        return request(service, model, adapter, patience, Set.of());
    }

    private static SelectionRequest request(
            String service, String model, String adapter, Duration patience, Set<String> avoided) {
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
                NOW.plus(patience),
                GOAL,
                new TreeMap<>(Map.of(1, GOAL)),
                NOW.plus(patience),
                Set.of(),
                avoided);
    }

    private Selection select(String model, String adapter, Duration patience) {
        return selector.select(request("llm", model, adapter, patience), ENGINES, table, NOW);
    }

    private static String upstreamOf(Selection selection) {
        assertThat(selection).isInstanceOf(Selection.Send.class);
        return ((Selection.Send) selection).upstream().description().identifier();
    }

    @Nested
    class Failed {

        private Selection selectAvoiding(String upstream) {
            SelectionRequest request = request("llm", "m", "", Duration.ofSeconds(5), Set.of(upstream));
            return selector.select(request, ENGINES, table, NOW);
        }

        @Test
        void should_go_to_another_upstream_than_the_one_that_failed_the_request() {
            engine("failed");
            engine("other").begin(5_000, 5_100);

            assertThat(upstreamOf(selectAvoiding("failed"))).isEqualTo("other");
        }

        @Test
        void should_go_to_the_same_upstream_again_when_it_is_the_only_one_with_the_model() {
            engine("failed");
            add("empty", "north", Set.of("m"));

            assertThat(upstreamOf(selectAvoiding("failed"))).isEqualTo("failed");
        }
    }

    @Nested
    class Paused {

        @Test
        void should_go_to_another_upstream_than_one_that_wants_nothing() {
            engine("paused").backOffUntil(NOW.plus(Duration.ofSeconds(1)));
            engine("other").begin(5_000, 5_100);

            assertThat(upstreamOf(select("m", "", Duration.ofSeconds(5)))).isEqualTo("other");
        }

        @Test
        void should_wait_where_the_pause_of_the_only_one_ends_in_time() {
            engine("paused").backOffUntil(NOW.plus(Duration.ofMillis(300)));

            assertThat(select("m", "", Duration.ofSeconds(5))).isEqualTo(new Selection.Wait("upstreams_paused", false));
        }

        @Test
        void should_refuse_until_the_first_pause_ends_where_that_is_too_late() {
            engine("longer").backOffUntil(NOW.plus(Duration.ofSeconds(9)));
            engine("shorter").backOffUntil(NOW.plus(Duration.ofSeconds(4)));

            assertThat(select("m", "", Duration.ofSeconds(5)))
                    .isEqualTo(new Selection.Refuse("upstreams_paused", Duration.ofSeconds(4)));
        }

        @Test
        void should_go_there_again_once_the_pause_is_over() {
            engine("paused").backOffUntil(NOW);

            assertThat(upstreamOf(select("m", "", Duration.ofSeconds(5)))).isEqualTo("paused");
        }

        @Test
        void should_leave_a_plain_service_alone_too() {
            add("paused", "north", Set.of()).backOffUntil(NOW.plus(Duration.ofSeconds(3)));

            assertThat(selector.select(request("app", "", "", Duration.ofSeconds(2)), PLAIN, table, NOW))
                    .isEqualTo(new Selection.Refuse("upstreams_paused", Duration.ofSeconds(3)));
        }
    }

    @Nested
    class Ranks {

        private static final Duration LONG_GOAL = Duration.ofSeconds(6);
        private static final Duration URGENT_GOAL = Duration.ofMillis(600);
        private static final TreeMap<Integer, Duration> GOALS = new TreeMap<>(Map.of(0, URGENT_GOAL, 1, GOAL));

        private Selection selectAfter(Duration waited, int priority, Duration goal) {
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
                    goal,
                    GOALS,
                    NOW.plus(Duration.ofSeconds(15)),
                    Set.of(),
                    Set.of());
            return selector.select(request, ENGINES, table, NOW.plus(waited));
        }

        /** An engine is busy for so long with prompts that came before; one of a thousand tokens takes 50 ms. */
        private void busyFor(long milliseconds) {
            table.find("e").orElseGet(() -> engine("e")).begin(milliseconds * 20, 1);
        }

        @Test
        void should_fill_engines_up_to_their_own_goal_with_requests_that_have_little_time() {
            busyFor(480);
            assertThat(upstreamOf(selectAfter(Duration.ZERO, 0, URGENT_GOAL))).isEqualTo("e");

            busyFor(180);

            assertThat(upstreamOf(selectAfter(Duration.ZERO, 1, GOAL))).isEqualTo("e");
            assertThat(selectAfter(Duration.ZERO, 0, URGENT_GOAL)).isInstanceOf(Selection.Refuse.class);
        }

        @Test
        void should_keep_requests_with_much_time_back_for_those_with_less() {
            busyFor(500);

            assertThat(selectAfter(Duration.ZERO, 1, LONG_GOAL))
                    .isEqualTo(new Selection.Wait("engines_backlogged", false));
            assertThat(selectAfter(Duration.ZERO, 0, LONG_GOAL))
                    .isEqualTo(new Selection.Wait("engines_backlogged", false));
        }

        @Test
        void should_send_a_request_that_has_waited_for_long_while_it_can_be_in_time() {
            busyFor(2_000);

            assertThat(selectAfter(Duration.ofSeconds(3), 1, LONG_GOAL)).isInstanceOf(Selection.Send.class);
            assertThat(selectAfter(Duration.ofSeconds(4), 1, LONG_GOAL)).isInstanceOf(Selection.Refuse.class);
        }

        @Test
        void should_refuse_at_once_what_no_wait_can_bring_in_time() {
            busyFor(720);

            assertThat(selectAfter(Duration.ZERO, 1, GOAL)).isInstanceOf(Selection.Refuse.class);
        }
    }

    /** An engine reads twenty tokens in a millisecond here. */
    @Nested
    class PromptLengths {

        private Selection select(long promptTokens, long usualTokens, Duration goal, Duration waited) {
            SelectionRequest request = new SelectionRequest(
                    "llm",
                    "m",
                    "",
                    promptTokens,
                    usualTokens,
                    1_200,
                    List.of(),
                    1,
                    NOW,
                    NOW.plus(Duration.ofSeconds(15)),
                    goal,
                    new TreeMap<>(Map.of(1, GOAL)),
                    NOW.plus(Duration.ofSeconds(15)),
                    Set.of(),
                    Set.of());
            return selector.select(request, ENGINES, table, NOW.plus(waited));
        }

        private void busyFor(long milliseconds) {
            engine("e").begin(milliseconds * 20, 1);
        }

        @Test
        void should_admit_a_long_prompt_wherever_one_of_usual_length_is_in_time() {
            busyFor(400);

            assertThat(upstreamOf(select(10_000, 2_000, GOAL, Duration.ZERO))).isEqualTo("e");
        }

        @Test
        void should_refuse_a_short_prompt_wherever_one_of_usual_length_is_late() {
            busyFor(400);

            assertThat(select(100, 10_000, GOAL, Duration.ZERO)).isInstanceOf(Selection.Refuse.class);
        }

        @Test
        void should_send_what_will_be_late_to_an_engine_that_would_be_idle() {
            busyFor(100);

            assertThat(upstreamOf(select(20_000, 20_000, GOAL, Duration.ZERO))).isEqualTo("e");
            assertThat(upstreamOf(select(1_000, 1_000, GOAL, Duration.ofSeconds(3))))
                    .isEqualTo("e");
        }

        @Test
        void should_not_keep_a_request_with_much_time_from_an_idle_engine_for_the_length_of_its_own_prompt() {
            engine("e");

            assertThat(upstreamOf(select(20_000, 20_000, GOAL.multipliedBy(4), Duration.ZERO)))
                    .isEqualTo("e");
        }

        @Test
        void should_let_a_request_with_much_time_wait_for_as_long_as_its_prompt_leaves_time() {
            busyFor(500);

            assertThat(select(20_000, 20_000, GOAL.multipliedBy(4), Duration.ofMillis(500)))
                    .isEqualTo(new Selection.Wait("engines_backlogged", false));
            assertThat(upstreamOf(select(20_000, 20_000, GOAL.multipliedBy(4), Duration.ofMillis(700))))
                    .isEqualTo("e");
        }
    }

    @Nested
    class Engines {

        @Test
        void should_prefer_the_one_with_fewer_unread_tokens() {
            engine("busy").begin(5_000, 5_100);
            engine("idle");

            assertThat(upstreamOf(select("m", "", Duration.ofSeconds(5)))).isEqualTo("idle");
        }

        @Test
        void should_count_the_load_of_peers() {
            engine("one").updatePeerLoad("peer", new LoadSnapshot(1, 5_000, 5_100, NOW));
            engine("two");

            assertThat(upstreamOf(select("m", "", Duration.ofSeconds(5)))).isEqualTo("two");
        }

        @Test
        void should_forget_the_load_of_a_peer_that_is_not_heard_any_more() {
            engine("one").updatePeerLoad("peer", new LoadSnapshot(1, 5_000, 5_100, NOW.plus(Duration.ofSeconds(-2))));
            engine("two").begin(100, 200);

            assertThat(upstreamOf(select("m", "", Duration.ofSeconds(5)))).isEqualTo("one");
        }

        @Test
        void should_prefer_the_one_that_keeps_the_prompt() {
            engine("one");
            engine("two").addCachedSegments("m", List.of(new PromptSegment("p", 800)));

            assertThat(upstreamOf(select("m", "", Duration.ofSeconds(5)))).isEqualTo("two");
        }

        @Test
        void should_go_only_where_the_adapter_is() {
            add("without", "north", Set.of("m"), new ResidentModel("m", 1, Set.of()));
            engine("with").begin(5_000, 5_100);

            assertThat(upstreamOf(select("m", "a1", Duration.ofSeconds(5)))).isEqualTo("with");
        }

        @Test
        void should_wait_for_room() {
            Upstream only = engine("one");
            for (int count = 0; count < 4; count++) {
                only.begin(10, 20);
            }

            assertThat(select("m", "", Duration.ofSeconds(5))).isEqualTo(new Selection.Wait("engines_full", false));
        }

        @Test
        void should_refuse_what_would_come_after_the_caller_has_left() {
            engine("one").begin(90_000, 100);

            assertThat(select("m", "", Duration.ofSeconds(3))).isInstanceOf(Selection.Refuse.class);
        }
    }

    @Nested
    class Overload {

        /** Ten times what one engine reads: those that are admitted are on time, the rest is told so at once. */
        @Test
        void should_keep_admitted_requests_on_time_when_more_comes_than_engines_read() {
            Upstream only = engine("one");
            int admitted = 0;
            int refused = 0;
            for (int count = 0; count < 100; count++) {
                switch (select("m", "", Duration.ofSeconds(3))) {
                    case Selection.Send send -> {
                        assertThat(send.expectedWait()).isLessThanOrEqualTo(GOAL);
                        only.begin(1_000, 0);
                        only.end(0, 0);
                        admitted++;
                    }
                    case Selection.Refuse refusal -> refused++;
                    case Selection.Wait wait -> throw new AssertionError("nothing is gained by waiting: " + wait);
                }
            }
            assertThat(admitted).isPositive();
            assertThat(refused).isPositive();
        }
    }

    @Nested
    class Missing {

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
        void should_refuse_at_once_where_a_load_takes_longer_than_the_caller_waits() {
            engine("one");

            assertThat(select("rare", "", Duration.ofSeconds(5)))
                    .isEqualTo(new Selection.Refuse("model_not_loaded", Duration.ofSeconds(8)));
        }

        @Test
        void should_wait_for_a_load_under_way_that_ends_in_time() {
            engine("one").setLoadingModels(Map.of("rare", NOW.plus(Duration.ofSeconds(1))));

            assertThat(select("rare", "", Duration.ofSeconds(5)))
                    .isEqualTo(new Selection.Wait("model_not_loaded", true));
        }

        @Test
        void should_refuse_a_model_that_is_not_configured() {
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
        void should_leave_the_own_failure_domain_when_its_slots_are_taken() {
            Upstream near = add("near", "north", Set.of());
            near.begin(0, 0);
            near.begin(0, 0);
            add("far", "south", Set.of());

            assertThat(upstreamOf(select())).isEqualTo("far");
        }

        @Test
        void should_prefer_the_one_with_free_slots() {
            Upstream busy = add("busy", "north", Set.of());
            busy.begin(0, 0);
            busy.begin(0, 0);
            add("free", "north", Set.of());

            assertThat(upstreamOf(select())).isEqualTo("free");
        }

        @Test
        void should_avoid_one_that_fails() {
            Upstream failing = add("failing", "north", Set.of());
            add("sound", "south", Set.of());
            for (int count = 0; count < 5; count++) {
                failing.record(true, NOW);
            }

            assertThat(upstreamOf(select())).isEqualTo("sound");
        }

        @Test
        void should_refuse_when_there_is_none() {
            assertThat(select()).isInstanceOf(Selection.Refuse.class);
        }
    }
}
