package org.pollenhoist.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.pollenhoist.routing.Fixtures.LAVRIO;
import static org.pollenhoist.routing.Fixtures.MODEL;
import static org.pollenhoist.routing.Fixtures.PIRAEUS;
import static org.pollenhoist.routing.Fixtures.REQUEST;
import static org.pollenhoist.routing.Fixtures.TARGET;
import static org.pollenhoist.routing.Fixtures.at;
import static org.pollenhoist.routing.Fixtures.chosen;
import static org.pollenhoist.routing.Fixtures.engine;
import static org.pollenhoist.routing.Fixtures.idleTable;
import static org.pollenhoist.routing.Fixtures.name;
import static org.pollenhoist.routing.Fixtures.report;
import static org.pollenhoist.routing.Fixtures.router;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RouterTest {

    @Nested
    class Choose {

        @Test
        void should_prefer_the_upstream_with_fewer_own_requests_when_reports_are_equal() {
            UpstreamTable table = idleTable(2, at(0));
            Router router = router(table);
            assertThat(Set.of(chosen(router.choose(REQUEST, at(1))), chosen(router.choose(REQUEST, at(2)))))
                    .containsExactlyInAnyOrder(name(1), name(2));
        }

        @Test
        void should_prefer_the_less_loaded_upstream_when_reports_are_fresh() {
            UpstreamTable table = idleTable(2, at(0));
            table.recordReport(report(1, 30, Duration.ZERO), at(1));
            assertThat(chosen(router(table).choose(REQUEST, at(2)))).isEqualTo(name(2));
        }

        @Test
        void should_count_own_requests_once_when_a_report_includes_them() {
            UpstreamTable table = idleTable(2, at(0));
            Router router = router(table);
            RoutingRequest onlyFirst = REQUEST.excluding(Set.of(name(2)));
            for (int request = 0; request < 4; request++) {
                router.choose(onlyFirst, at(1));
            }
            table.recordReport(report(1, 4, Duration.ZERO), at(10));
            table.recordReport(report(2, 6, Duration.ZERO), at(10));
            assertThat(chosen(router.choose(REQUEST, at(11)))).isEqualTo(name(1));
        }

        @Test
        void should_stay_in_the_failure_domain_until_the_load_difference_costs_more() {
            UpstreamTable table = idleTable(1, at(0));
            table.install(List.of(engine(1, LAVRIO), engine(2, PIRAEUS)));
            table.recordReport(report(2, 1, Duration.ZERO), at(0));
            assertThat(chosen(router(table).choose(REQUEST, at(1)))).isEqualTo(name(2));
            table.recordReport(report(2, 40, Duration.ZERO), at(2));
            assertThat(chosen(router(table).choose(REQUEST, at(3)))).isEqualTo(name(1));
        }

        @Test
        void should_follow_the_cached_prefix_when_loads_are_equal() {
            UpstreamTable table = idleTable(3, at(0));
            table.recordCacheEvents(name(3), 1, List.of(new CacheEvent(0, 77, CacheEvent.Kind.STORED)));
            RoutingRequest request = new RoutingRequest(TARGET, List.of(77L), 5, PIRAEUS, Set.of());
            RoutingDecision decision = router(table).choose(request, at(1));
            assertThat(chosen(decision)).isEqualTo(name(3));
            assertThat(decision.reason()).isEqualTo(RoutingReason.CACHED_PREFIX);
        }

        @Test
        void should_say_why_when_no_upstream_can_take_the_request() {
            UpstreamTable table = idleTable(1, at(0));
            Router router = router(table);
            RoutingTarget otherPool = RoutingTarget.ofPool("berth");
            RoutingTarget otherModel = RoutingTarget.ofModel("scribe", org.pollenhoist.common.ModelName.of("other"));
            assertThat(router.choose(RoutingRequest.of(otherPool, 5, PIRAEUS), at(1))
                            .reason())
                    .isEqualTo(RoutingReason.EMPTY_POOL);
            assertThat(router.choose(RoutingRequest.of(otherModel, 5, PIRAEUS), at(1))
                            .reason())
                    .isEqualTo(RoutingReason.MODEL_NOT_RESIDENT);
            assertThat(router.choose(REQUEST.excluding(Set.of(name(1))), at(1)).reason())
                    .isEqualTo(RoutingReason.NONE_AVAILABLE);
        }

        @Test
        void should_try_an_upstream_that_never_reported_when_none_is_known_to_hold_the_model() {
            UpstreamTable table = new UpstreamTable();
            table.install(List.of(engine(1, PIRAEUS)));
            assertThat(chosen(router(table).choose(REQUEST, at(1)))).isEqualTo(name(1));
        }
    }

    @Nested
    class Leaving {

        @Test
        void should_get_no_new_work_from_the_list_or_its_own_signal_whichever_comes_first() {
            UpstreamTable table = idleTable(3, at(0));
            table.installLeavingList(Set.of(name(1)));
            table.signalLeaving(name(2));
            assertThat(chosen(router(table).choose(REQUEST, at(1)))).isEqualTo(name(3));
        }

        @Test
        void should_get_work_again_when_a_new_incarnation_reports() {
            UpstreamTable table = idleTable(1, at(0));
            table.signalLeaving(name(1));
            table.recordReport(
                    new UpstreamReport(name(1), 2, 0, 0, 0, Set.of(MODEL), Set.of(), false, Duration.ZERO), at(5));
            assertThat(chosen(router(table).choose(REQUEST, at(6)))).isEqualTo(name(1));
        }
    }

    @Nested
    class Ejection {

        @Test
        void should_leave_an_upstream_out_after_two_connect_failures_and_probe_it_once_afterwards() {
            UpstreamTable table = idleTable(1, at(0));
            Router router = router(table);
            table.recordConnectFailure(name(1), at(1));
            table.recordConnectFailure(name(1), at(2));
            assertThat(router.choose(REQUEST, at(900)).reason()).isEqualTo(RoutingReason.NONE_AVAILABLE);
            assertThat(router.choose(REQUEST, at(1_010)).reason()).isEqualTo(RoutingReason.PROBE);
            assertThat(router.choose(REQUEST, at(1_011)).reason()).isEqualTo(RoutingReason.NONE_AVAILABLE);
            table.recordContact(name(1));
            assertThat(router.choose(REQUEST, at(1_012)).reason()).isEqualTo(RoutingReason.ONLY_CANDIDATE);
        }

        @Test
        void should_allow_the_next_probe_when_a_probe_ends_without_contact_or_failure() {
            UpstreamTable table = idleTable(1, at(0));
            Router router = router(table);
            table.recordConnectFailure(name(1), at(1));
            table.recordConnectFailure(name(1), at(2));
            RoutingDecision.Chosen probe = (RoutingDecision.Chosen) router.choose(REQUEST, at(1_010));
            probe.inFlight().release(at(1_020));
            assertThat(router.choose(REQUEST, at(1_021)).reason()).isEqualTo(RoutingReason.PROBE);
        }
    }

    @Nested
    class InFlight {

        @Test
        void should_be_released_once_when_the_handle_is_released_twice() {
            UpstreamTable table = idleTable(1, at(0));
            Router router = router(table);
            RoutingDecision.Chosen first = (RoutingDecision.Chosen) router.choose(REQUEST, at(1));
            router.choose(REQUEST, at(1));
            first.inFlight().release(at(2));
            first.inFlight().release(at(3));
            assertThat(table.inFlight(name(1))).isEqualTo(1);
        }

        @Test
        void should_stay_counted_when_the_upstream_leaves_the_configuration() {
            UpstreamTable table = idleTable(1, at(0));
            RoutingDecision.Chosen only = (RoutingDecision.Chosen) router(table).choose(REQUEST, at(1));
            table.install(List.of());
            assertThat(table.inFlight(name(1))).isEqualTo(1);
            only.inFlight().release(at(2));
            assertThat(table.inFlight(name(1))).isZero();
        }
    }
}
