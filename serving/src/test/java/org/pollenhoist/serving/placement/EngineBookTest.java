package org.pollenhoist.serving.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.upstream.ResidentModel;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamDescription;
import org.pollenhoist.serving.upstream.UpstreamTable;

class EngineBookTest {

    private static final MonotonicTime NOW = MonotonicTime.of(Duration.ofSeconds(100));
    private static final Duration PAUSE = Duration.ofMillis(600);
    private static final Duration LOAD_TIME = Duration.ofSeconds(8);
    private static final EngineOrder LOAD_B = new EngineOrder.LoadModel("b");

    private final UpstreamTable table = new UpstreamTable();
    private final Upstream upstream = describe("a");
    private final EngineBook book = new EngineBook(upstream, NOW);

    private Upstream describe(String... models) {
        List<ResidentModel> held = List.of(models).stream()
                .map(name -> new ResidentModel(name, 1, Set.of()))
                .toList();
        table.put(
                new UpstreamDescription("i-1", 5, "s", new InetSocketAddress(1), "north", 64, false, 0, held, Set.of()),
                NOW);
        return table.find("i-1").orElseThrow();
    }

    private static EngineStatus status(long sequence, boolean isOccupied, String... models) {
        return new EngineStatus(
                sequence,
                isOccupied,
                List.of(models).stream()
                        .map(name -> new ResidentModel(name, 1, Set.of()))
                        .toList());
    }

    private void load() {
        book.reported(status(0, false, "a"), PAUSE, NOW);
        book.sent(LOAD_B, LOAD_TIME);
        book.answered(LOAD_B, OrderOutcome.ACCEPTED, PAUSE, NOW);
    }

    @Nested
    class Reports {

        @Test
        void should_keep_a_loaded_model_when_an_older_report_shows_it_in_progress() {
            load();
            describe("a", "b");
            book.completeModelOrder(true);

            book.reported(status(1, true, "a"), PAUSE, NOW);

            assertThat(upstream.hasLoaded("b", "")).isTrue();
            assertThat(book.possibleHoldings(NOW)).containsOnlyKeys("a", "b");
        }

        @Test
        void should_wait_for_a_newer_report_where_an_unknown_order_is_in_progress() {
            book.reported(status(4, true, "a"), PAUSE, NOW);

            assertThat(book.isFree(NOW)).isFalse();
            assertThat(book.isReportNeeded(NOW)).isFalse();
            assertThat(book.isReportNeeded(NOW.plus(PAUSE))).isTrue();
        }

        @Test
        void should_be_ignored_while_an_order_is_on_its_way() {
            book.reported(status(0, false, "a"), PAUSE, NOW);
            book.sent(LOAD_B, LOAD_TIME);

            book.reported(status(0, false), PAUSE, NOW);

            assertThat(upstream.hasLoaded("a", "")).isTrue();
        }
    }

    @Nested
    class Orders {

        @Test
        void should_count_accepted_orders() {
            load();

            assertThat(book.expectedSequence()).isEqualTo(1);
            assertThat(book.isModelOrderRunning()).isTrue();
        }

        @Test
        void should_count_what_an_unanswered_order_may_yet_bring() {
            book.reported(status(0, false, "a"), PAUSE, NOW);
            book.sent(LOAD_B, LOAD_TIME);
            book.answered(LOAD_B, OrderOutcome.UNKNOWN, PAUSE, NOW);
            book.reported(status(0, false, "a"), PAUSE, NOW);

            assertThat(book.possibleHoldings(NOW.plus(Duration.ofSeconds(12)))).containsOnlyKeys("a", "b");
        }

        @Test
        void should_forget_an_unanswered_order_once_a_later_one_was_accepted() {
            book.reported(status(0, false, "a"), PAUSE, NOW);
            book.sent(LOAD_B, LOAD_TIME);
            book.answered(LOAD_B, OrderOutcome.UNKNOWN, PAUSE, NOW);
            book.reported(status(0, false, "a"), PAUSE, NOW);
            EngineOrder adapter = new EngineOrder.LoadAdapter("a", "a1");
            book.sent(adapter, LOAD_TIME);
            book.answered(adapter, OrderOutcome.ACCEPTED, PAUSE, NOW);

            assertThat(book.possibleHoldings(NOW)).containsOnlyKeys("a");
        }

        @Test
        void should_ask_for_the_count_when_a_repeated_order_was_already_carried_out() {
            book.reported(status(0, false, "a"), PAUSE, NOW);
            EngineOrder adapter = new EngineOrder.LoadAdapter("a", "a1");
            book.sent(adapter, LOAD_TIME);
            book.repeated();
            book.answered(adapter, OrderOutcome.DONE, PAUSE, NOW);

            assertThat(book.isFree(NOW)).isFalse();
            assertThat(book.isReportNeeded(NOW)).isTrue();
        }

        @Test
        void should_expect_the_loads_that_were_announced_by_the_vm_before() {
            MonotonicTime expected = NOW.plus(Duration.ofSeconds(2));
            upstream.setLoadingModels(Map.of("c", expected));

            EngineBook takenOver = new EngineBook(upstream, NOW);

            assertThat(takenOver.arrivals()).containsEntry("c", expected);
            assertThat(takenOver.models()).containsOnly("a", "c");
            assertThat(takenOver.possibleHoldings(NOW)).containsOnlyKeys("a", "c");
        }

        @Test
        void should_hide_a_model_from_requests_as_soon_as_it_is_to_be_dropped() {
            book.reported(status(0, false, "a"), PAUSE, NOW);

            book.sent(new EngineOrder.UnloadModel("a"), LOAD_TIME);

            assertThat(upstream.hasLoaded("a", "")).isFalse();
            assertThat(book.possibleHoldings(NOW)).containsOnlyKeys("a");
            assertThat(book.models()).isEmpty();
        }
    }
}
