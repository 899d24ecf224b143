package org.pollenhoist.serving.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
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
import org.pollenhoist.serving.request.PromptSegment;
import org.pollenhoist.serving.upstream.HeldModel;
import org.pollenhoist.serving.upstream.LoadSnapshot;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamDescription;
import org.pollenhoist.serving.upstream.UpstreamTable;

/** What callers get when the saving of kept prompts is weighed, and when nothing is assumed to be kept. */
class PromptSavingLoadTest {

    private static final Duration OBJECTIVE = Duration.ofMillis(800);
    private static final int MEMORY_TOKENS = 60_000;
    private static final Service SERVICE = new Service(
            "llm",
            100,
            Optional.of(new Engine(
                    32,
                    MEMORY_TOKENS,
                    100,
                    8,
                    1,
                    Map.of(
                            "m",
                            new Model(
                                    "m",
                                    1,
                                    Duration.ofSeconds(8),
                                    Duration.ofSeconds(2),
                                    Duration.ofSeconds(1),
                                    0,
                                    0)))));

    private static UpstreamTable engines(int count) {
        UpstreamTable table = new UpstreamTable();
        for (int number = 0; number < count; number++) {
            table.put(
                    new UpstreamDescription(
                            "e" + number,
                            1,
                            "llm",
                            "v1",
                            new InetSocketAddress(1),
                            "north",
                            32,
                            false,
                            0,
                            List.of(new HeldModel("m", 1, Set.of())),
                            Set.of()),
                    MonotonicTime.of(Duration.ZERO));
        }
        return table;
    }

    private static SelectionRequest request(List<PromptSegment> prompt, long meanTokens, MonotonicTime arrivedAt) {
        long tokens = prompt.stream().mapToLong(PromptSegment::tokens).sum();
        MonotonicTime deadline = arrivedAt.plus(Duration.ofSeconds(3));
        return new SelectionRequest(
                "llm",
                "m",
                "",
                tokens,
                meanTokens,
                tokens + 100,
                prompt,
                1,
                arrivedAt,
                deadline,
                OBJECTIVE,
                new TreeMap<>(Map.of(1, OBJECTIVE)),
                deadline,
                Set.of(),
                Set.of(),
                Set.of());
    }

    /** Twenty prompt tokens take a millisecond: the beginning of the prompt takes 200 ms. */
    @Nested
    class Weighing {

        private static final MonotonicTime NOW = MonotonicTime.of(Duration.ofSeconds(100));
        private static final List<PromptSegment> PROMPT =
                List.of(new PromptSegment("shared", 4_000), new PromptSegment("own", 400));

        private final UpstreamTable table = engines(3);
        private final Upstream keeper = table.find("e1").orElseThrow();

        private Selection.Send select(MonotonicTime now) {
            UpstreamSelector selector = new UpstreamSelector("north", new PrefillRateEstimator());
            return (Selection.Send) selector.select(request(PROMPT, 4_400, now), SERVICE, table, now);
        }

        private Weighing() {
            List<PromptSegment> other = List.of(PROMPT.getFirst(), new PromptSegment("other", 400));
            keeper.keptPrompts().add("m", "", other, NOW);
        }

        @Test
        void should_send_to_the_engine_that_keeps_the_beginning_when_its_wait_is_less_than_the_saving() {
            keeper.begin(3_000, 3_100);

            assertThat(select(NOW).upstream()).isEqualTo(keeper);
            assertThat(select(NOW).saving()).isEqualTo(new PrefillSaving(4_400, 4_000));
        }

        @Test
        void should_send_to_the_least_loaded_engine_when_the_wait_exceeds_the_saving() {
            keeper.begin(5_000, 5_100);
            table.find("e0").orElseThrow().begin(1_000, 1_100);

            assertThat(select(NOW).upstream().description().identifier()).isEqualTo("e2");
            assertThat(select(NOW).saving()).isEqualTo(new PrefillSaving(4_400, 0));
        }

        @Test
        void should_accept_less_wait_when_other_vms_have_probably_displaced_the_beginning() {
            MonotonicTime later = NOW.plus(Duration.ofSeconds(30));
            keeper.updatePeerLoad("peer", new LoadSnapshot(1, 1_000, MEMORY_TOKENS / 2, later));

            assertThat(select(later).upstream()).isNotEqualTo(keeper);
        }
    }

    /** Three VMs share four engines; VMs learn of each other's load at times, and of what engines keep never. */
    private static final class Play {

        private static final int VMS = 3;
        private static final int ENGINES = 4;
        private static final int BEGINNINGS = 40;
        private static final int BEGINNING_TOKENS = 2_000;
        private static final int MEAN_PROMPT_TOKENS = 2_400;
        private static final double MILLISECONDS_PER_TOKEN = 0.05;
        private static final long DURATION_MILLISECONDS = 60_000;
        private static final long REPORT_MILLISECONDS = 250;
        private static final long RETRY_MILLISECONDS = 20;
        private static final long OUTPUT_MILLISECONDS = 1_000;

        /** What the engines can take if they keep half of the beginnings that they are asked for. */
        private static final double CAPACITY_PER_MILLISECOND =
                ENGINES / ((MEAN_PROMPT_TOKENS - BEGINNING_TOKENS / 2.0) * MILLISECONDS_PER_TOKEN);

        private final Random random;
        private final double demand;
        private final boolean isWeighed;
        private final List<UpstreamTable> tables = new ArrayList<>();
        private final List<UpstreamSelector> selectors = new ArrayList<>();
        private final List<PrefillRateEstimator> rates = new ArrayList<>();
        private final List<SimulatedEngine> engines = new ArrayList<>();
        private final PriorityQueue<Event> events = new PriorityQueue<>();
        private long milliseconds;
        private long arrived;
        private long eventCount;
        private int onTime;

        private record Event(long at, long number, Runnable action) implements Comparable<Event> {

            @Override
            public int compareTo(Event other) {
                return at == other.at ? Long.compare(number, other.number) : Long.compare(at, other.at);
            }
        }

        private static final class SimulatedEngine {

            private final LinkedHashMap<String, Integer> kept = new LinkedHashMap<>(16, 0.75f, true);
            private long reserved;
            private double freeAt;

            private int read(List<PromptSegment> prompt) {
                int unread = 0;
                for (PromptSegment part : prompt) {
                    unread += kept.put(part.identifier(), part.tokens()) == null ? part.tokens() : 0;
                }
                long excess =
                        kept.values().stream().mapToLong(Integer::intValue).sum() + reserved - MEMORY_TOKENS;
                while (excess > 0 && !kept.isEmpty()) {
                    excess -= kept.pollFirstEntry().getValue();
                }
                return unread;
            }
        }

        private Play(long seed, double demandOfCapacity, boolean isWeighed) {
            random = new Random(seed);
            demand = demandOfCapacity * CAPACITY_PER_MILLISECOND;
            this.isWeighed = isWeighed;
            for (int vm = 0; vm < VMS; vm++) {
                tables.add(engines(ENGINES));
                rates.add(new PrefillRateEstimator());
                selectors.add(new UpstreamSelector("north", rates.getLast()));
            }
            for (int engine = 0; engine < ENGINES; engine++) {
                engines.add(new SimulatedEngine());
            }
        }

        /** Returns the share of requests with their first token within the objective. */
        private double run() {
            double at = 0;
            while (at < DURATION_MILLISECONDS) {
                at -= Math.log(1 - random.nextDouble()) / demand;
                after((long) at, arrival((long) at));
            }
            after(0, this::report);
            while (!events.isEmpty()) {
                Event event = events.poll();
                milliseconds = event.at();
                event.action().run();
            }
            return (double) onTime / arrived;
        }

        private Runnable arrival(long at) {
            // The k-th beginning is asked for 1/k times as often as the first one.
            int beginning = (int) Math.floor(Math.pow(BEGINNINGS + 1, random.nextDouble()));
            int vm = random.nextInt(VMS);
            List<PromptSegment> prompt = List.of(
                    new PromptSegment("b" + beginning, BEGINNING_TOKENS),
                    new PromptSegment("r" + ++arrived, 200 + random.nextInt(400)));
            SelectionRequest request = request(prompt, MEAN_PROMPT_TOKENS, MonotonicTime.of(Duration.ofMillis(at)));
            return () -> start(request, vm);
        }

        private void after(long delay, Runnable action) {
            events.add(new Event(milliseconds + delay, ++eventCount, action));
        }

        private MonotonicTime now() {
            return MonotonicTime.of(Duration.ofMillis(milliseconds));
        }

        private void start(SelectionRequest request, int vm) {
            switch (selectors.get(vm).select(request, SERVICE, tables.get(vm), now())) {
                case Selection.Send send -> send(request, vm, send);
                case Selection.Wait wait -> after(RETRY_MILLISECONDS, () -> start(request, vm));
                case Selection.Refuse refusal -> {}
            }
        }

        private void send(SelectionRequest request, int vm, Selection.Send send) {
            Upstream upstream = send.upstream();
            long unread = request.promptTokens() - send.saving().keptTokens();
            long sentAt = milliseconds;
            long ahead = upstream.load(now()).tokensAwaitingPrefill();
            SimulatedEngine engine = engines.get(
                    Integer.parseInt(upstream.description().identifier().substring(1)));
            upstream.begin(unread, request.totalTokens());
            engine.reserved += request.totalTokens();
            double reading = engine.read(request.promptSegments()) * MILLISECONDS_PER_TOKEN;
            engine.freeAt = Math.max(engine.freeAt, (double) sentAt) + reading;
            long firstTokenAt = (long) Math.ceil(engine.freeAt);
            after(firstTokenAt - sentAt, () -> {
                Duration waited = Duration.ofMillis(firstTokenAt - sentAt);
                upstream.recordFirstToken(unread);
                rates.get(vm).observe("m", ahead + unread, waited);
                if (isWeighed) {
                    upstream.keptPrompts().add("m", "", request.promptSegments(), now());
                }
                onTime += now().since(request.waitingSince()).compareTo(OBJECTIVE) <= 0 ? 1 : 0;
            });
            after(firstTokenAt - sentAt + OUTPUT_MILLISECONDS, () -> {
                upstream.end(0, request.totalTokens());
                engine.reserved -= request.totalTokens();
            });
        }

        private void report() {
            for (int from = 0; from < VMS; from++) {
                for (int engine = 0; engine < ENGINES; engine++) {
                    String name = "e" + engine;
                    LoadSnapshot load =
                            tables.get(from).find(name).orElseThrow().ownLoad(now());
                    for (int to = 0; to < VMS; to++) {
                        if (to != from) {
                            tables.get(to).find(name).orElseThrow().updatePeerLoad("vm" + from, load);
                        }
                    }
                }
            }
            if (milliseconds < DURATION_MILLISECONDS) {
                after(REPORT_MILLISECONDS, this::report);
            }
        }
    }

    @Nested
    class Load {

        @ParameterizedTest
        @ValueSource(doubles = {0.9, 1.1, 1.3})
        void should_answer_more_callers_on_time_when_the_saving_is_weighed(double demandOfCapacity) {
            double weighedSum = 0;
            double unweighedSum = 0;
            for (long seed = 1; seed <= 5; seed++) {
                double weighed = new Play(seed, demandOfCapacity, true).run();
                double unweighed = new Play(seed, demandOfCapacity, false).run();
                assertThat(weighed).as("seed %d", seed).isGreaterThanOrEqualTo(unweighed);
                weighedSum += weighed;
                unweighedSum += unweighed;
            }
            assertThat(weighedSum).isGreaterThan(unweighedSum);
        }
    }
}
