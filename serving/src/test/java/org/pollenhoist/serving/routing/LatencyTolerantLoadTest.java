package org.pollenhoist.serving.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.catalog.Engine;
import org.pollenhoist.serving.catalog.Model;
import org.pollenhoist.serving.catalog.Service;
import org.pollenhoist.serving.placement.ModelRequest;
import org.pollenhoist.serving.request.RequestQueue;
import org.pollenhoist.serving.upstream.ResidentModel;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamDescription;
import org.pollenhoist.serving.upstream.UpstreamTable;

/** Callers with much time and callers with little at one engine, which reads their prompts in the order they come. */
class LatencyTolerantLoadTest {

    private static final Duration SHORT_GOAL = Duration.ofMillis(800);
    private static final Duration LONG_GOAL = Duration.ofSeconds(6);
    private static final TreeMap<Integer, Duration> GOALS = new TreeMap<>(Map.of(0, SHORT_GOAL, 1, SHORT_GOAL));
    private static final int STEP_MILLISECONDS = 10;
    private static final int PUMP_MILLISECONDS = 50;

    /** An engine reads these in 90 ms. */
    private static final int PROMPT_TOKENS = 1_800;

    private static final int TOKENS_A_STEP = 200;

    private final UpstreamTable table = new UpstreamTable();
    private final UpstreamSelector selector = new UpstreamSelector("north", new PrefillRateEstimator());
    private final RequestQueue queue = new RequestQueue();
    private final Deque<Caller> atEngine = new ArrayDeque<>();
    private final List<Caller> callers = new ArrayList<>();
    private Service service;
    private Upstream engine;
    private MonotonicTime now = MonotonicTime.of(Duration.ofSeconds(100));

    @BeforeEach
    void start() {
        Model model = new Model("m", 1, Duration.ofSeconds(8), Duration.ofSeconds(2), Duration.ofSeconds(1), 0, 0);
        service = new Service("llm", 300, Optional.of(new Engine(64, 1_000_000, 1, 8, 1, Map.of("m", model))));
        UpstreamDescription description = new UpstreamDescription(
                "e",
                1,
                "llm",
                new InetSocketAddress(1),
                "north",
                64,
                false,
                0,
                List.of(new ResidentModel("m", 1, Set.of())),
                Set.of());
        table.put(description, now);
        engine = table.find("e").orElseThrow();
    }

    /** One caller's request. */
    private final class Caller implements RequestQueue.QueuedRequest {

        private final int priority;
        private final Duration goal;
        private final MonotonicTime arrivedAt = now;
        private final long number = callers.size();
        private int unread = PROMPT_TOKENS;
        private Optional<Duration> answeredAfter = Optional.empty();

        private Caller(int priority, Duration goal) {
            this.priority = priority;
            this.goal = goal;
        }

        @Override
        public int priority() {
            return priority;
        }

        @Override
        public long number() {
            return number;
        }

        @Override
        public Optional<ModelRequest> modelRequest() {
            return Optional.empty();
        }

        @Override
        public boolean tryStart(MonotonicTime at) {
            MonotonicTime leavesAt = arrivedAt.plus(Duration.ofSeconds(15));
            SelectionRequest request = new SelectionRequest(
                    "llm",
                    "m",
                    "",
                    PROMPT_TOKENS,
                    PROMPT_TOKENS,
                    PROMPT_TOKENS,
                    List.of(),
                    priority,
                    arrivedAt,
                    leavesAt,
                    goal,
                    GOALS,
                    leavesAt,
                    Set.of(),
                    Set.of());
            return switch (selector.select(request, service, table, at)) {
                case Selection.Send send -> {
                    send.upstream().begin(PROMPT_TOKENS, PROMPT_TOKENS);
                    atEngine.add(this);
                    yield true;
                }
                case Selection.Wait wait -> false;
                case Selection.Refuse refusal -> true;
            };
        }

        private boolean isInTime() {
            return answeredAfter.filter(time -> time.compareTo(goal) <= 0).isPresent();
        }
    }

    private void come(int count, int priority, Duration goal) {
        for (int index = 0; index < count; index++) {
            Caller caller = new Caller(priority, goal);
            callers.add(caller);
            if (!caller.tryStart(now)) {
                queue.add(caller);
            }
        }
    }

    /** Lets time pass; every so often a caller with little time comes. */
    private void pass(int milliseconds, int shortEachMilliseconds) {
        for (int passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
            if (passed % shortEachMilliseconds == 0) {
                come(1, 1, SHORT_GOAL);
            }
            if (passed % PUMP_MILLISECONDS == 0) {
                queue.tryStartAll(now);
            }
            now = now.plus(Duration.ofMillis(STEP_MILLISECONDS));
            read(TOKENS_A_STEP);
        }
    }

    private void read(int tokens) {
        int left = tokens;
        while (left > 0 && !atEngine.isEmpty()) {
            Caller first = atEngine.getFirst();
            int part = Math.min(left, first.unread);
            first.unread -= part;
            left -= part;
            if (first.unread == 0) {
                atEngine.removeFirst();
                engine.recordFirstToken(PROMPT_TOKENS);
                engine.end(0, PROMPT_TOKENS);
                first.answeredAfter = Optional.of(now.since(first.arrivedAt));
            }
        }
    }

    @Nested
    class Burst {

        @Test
        void should_delay_nobody_beyond_the_goal_when_all_can_be_in_time() {
            come(25, 1, LONG_GOAL);
            pass(8_000, 200);

            assertThat(callers).hasSize(65).allMatch(Caller::isInTime);
        }

        @Test
        void should_serve_callers_with_little_time_when_there_is_too_much_for_all() {
            come(100, 1, LONG_GOAL);
            pass(8_000, 200);

            assertThat(callers.stream().filter(caller -> caller.goal.equals(SHORT_GOAL)))
                    .filteredOn(caller ->
                            caller.arrivedAt.isBefore(callers.get(0).arrivedAt.plus(LONG_GOAL.dividedBy(2))))
                    .hasSize(15)
                    .allMatch(Caller::isInTime);
            assertThat(callers.stream()
                            .filter(caller -> caller.goal.equals(LONG_GOAL))
                            .filter(Caller::isInTime))
                    .hasSizeGreaterThan(25);
        }
    }
}
