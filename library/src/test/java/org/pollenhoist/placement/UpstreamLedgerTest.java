package org.pollenhoist.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.upstream.EngineReport;

class UpstreamLedgerTest {

    private static final UpstreamLedger EMPTY = UpstreamLedger.empty(UpstreamName.of("scribe-1"), 100)
            .afterReport(Samples.report("i1", 1, 0, List.of()), true, Set.of());

    @Nested
    class WithOrder {

        @Test
        void should_refuse_a_load_when_all_that_may_be_resident_exceeds_memory() {
            UpstreamLedger ledger = EMPTY.withOrder(Samples.load("a", 2, "berth", 60));

            assertThatThrownBy(() -> ledger.withOrder(Samples.load("b", 3, "scribe", 50)))
                    .hasMessage("ledger of 'scribe-1' would commit 110 bytes, expected at most 100");
        }
    }

    @Nested
    class AfterReport {

        private final UpstreamLedger loading = EMPTY.withOrder(Samples.load("a", 2, "berth", 60));

        @Test
        void should_keep_the_reservation_when_the_engine_does_not_list_the_order() {
            UpstreamLedger ledger = loading.afterReport(Samples.report("i1", 5, 0, List.of()), true, Set.of());

            assertThat(ledger.committedBytes()).isEqualTo(60);
            assertThat(ledger.openLoads()).hasSize(1);
        }

        @Test
        void should_end_the_reservation_when_a_checking_engine_has_seen_a_higher_fencing_number() {
            UpstreamLedger ledger = loading.afterReport(Samples.report("i1", 5, 3, List.of()), true, Set.of());

            assertThat(ledger.committedBytes()).isZero();
        }

        @Test
        void should_keep_the_reservation_when_an_engine_that_ignores_fencing_has_seen_a_higher_number() {
            UpstreamLedger ledger = loading.afterReport(Samples.report("i1", 5, 3, List.of()), false, Set.of("a"));

            assertThat(ledger.committedBytes()).isEqualTo(60);
        }

        @Test
        void should_keep_the_reservation_when_a_checking_engine_still_runs_the_fenced_order() {
            var running = new EngineReport.ReportedOrder("a", EngineReport.OrderState.RUNNING);
            UpstreamLedger ledger = loading.afterReport(Samples.report("i1", 5, 3, List.of(), running), true, Set.of());

            assertThat(ledger.committedBytes()).isEqualTo(60);
        }

        @Test
        void should_reserve_for_late_copies_when_the_engine_has_restarted_until_they_have_expired() {
            UpstreamLedger restarted = loading.afterReport(Samples.report("i2", 1, 0, List.of()), false, Set.of());
            UpstreamLedger expired = restarted.afterReport(Samples.report("i2", 2, 0, List.of()), false, Set.of("a"));

            assertThat(restarted.committedBytes()).isEqualTo(60);
            assertThat(expired.committedBytes()).isZero();
        }

        @Test
        void should_change_nothing_when_the_report_is_older_than_the_last() {
            UpstreamLedger loaded = loading.afterReport(
                    Samples.report("i1", 5, 2, List.of(Samples.ready("berth", 60))), true, Set.of());

            assertThat(loaded.afterReport(Samples.report("i1", 4, 2, List.of()), true, Set.of()))
                    .isSameAs(loaded);
        }

        @Test
        void should_free_memory_when_the_unload_is_done_and_no_load_can_come_late() {
            UpstreamLedger loaded = loading.afterReport(
                    Samples.report("i1", 5, 2, List.of(Samples.ready("berth", 60)), Samples.done("a")), true, Set.of());
            UpstreamLedger unloading = loaded.withOrder(Samples.unload("b", 6, "berth"));
            UpstreamLedger unloaded = unloading.afterReport(
                    Samples.report("i1", 6, 6, List.of(), Samples.done("a"), Samples.done("b")), true, Set.of());

            assertThat(unloading.committedBytes()).isEqualTo(60);
            assertThat(unloading.isUnloadPending(Samples.item("berth"))).isTrue();
            assertThat(unloaded.committedBytes()).isZero();
            assertThat(unloaded.isLoadSafe(Samples.item("berth"), 60, true)).isTrue();
            assertThat(unloaded.isLoadSafe(Samples.item("berth"), 60, false)).isFalse();
        }
    }

    @Nested
    class Codec {

        @Test
        void should_restore_the_ledger_when_encoded() {
            UpstreamLedger ledger = EMPTY.withOrder(Samples.load("a", 2, "berth", 60))
                    .afterReport(Samples.report("i1", 2, 0, List.of(Samples.ready("scribe", 9))), true, Set.of())
                    .writtenBy("vm-1/1", "vm-1-7");

            assertThat(LedgerCodec.decode("key", LedgerCodec.encode(ledger))).isEqualTo(ledger);
        }
    }
}
