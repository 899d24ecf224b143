package org.pollenhoist.acceptance;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.experiments.processes.Fleet;
import org.pollenhoist.experiments.processes.FleetMember;
import org.pollenhoist.experiments.processes.FleetPlan;
import org.pollenhoist.experiments.processes.HttpCalls;

/** The stand-ins as processes, without any of the product's. */
class StandInsTest {

    private static final Path DIRECTORY = Path.of("target", "fleets", "stand-ins");
    private static final int TERMINATED_EXIT_CODE = 143;

    private final HttpCalls calls = new HttpCalls();

    @Nested
    class Start {

        @Test
        void should_answer_and_leave_nothing_behind_when_started_and_closed() {
            List<FleetMember> members;
            try (Fleet fleet = Fleet.startStandIns(FleetPlan.thalassa(0), DIRECTORY)) {
                members = List.of(
                        fleet.platform(),
                        fleet.engines().get(0),
                        fleet.services().get(0));
                assertThat(calls.require("GET", fleet.platform().uri("/v1/list?prefix="), ""))
                        .isEqualTo("{\"revision\":0,\"values\":[]}");
                assertThat(calls.require("GET", fleet.engines().get(0).uri("/v1/models"), ""))
                        .contains("\"scribe\"");
                assertThat(calls.require("POST", fleet.services().get(0).uri("/bookings"), "marker=a1"))
                        .contains("\"marker\":\"a1\"");
            }

            assertThat(members).noneMatch(member -> member.process().isAlive());
        }
    }

    @Nested
    class Stop {

        @Test
        void should_end_cleanly_when_terminated() {
            try (Fleet fleet = Fleet.startStandIns(FleetPlan.thalassa(0), DIRECTORY)) {
                assertThat(fleet.platform().process().stop()).isEqualTo(TERMINATED_EXIT_CODE);
            }
        }
    }

    @Nested
    class RestartEngine {

        @Test
        void should_be_a_new_incarnation_when_an_engine_was_killed() {
            try (Fleet fleet = Fleet.startStandIns(FleetPlan.thalassa(0), DIRECTORY)) {
                FleetMember engine = fleet.engine("scribe-2");
                String former = incarnationOf(engine);
                engine.process().kill();

                FleetMember restarted = fleet.restartEngine("scribe-2");

                assertThat(restarted.port()).isEqualTo(engine.port());
                assertThat(incarnationOf(restarted)).isNotEqualTo(former);
            }
        }

        private String incarnationOf(FleetMember engine) {
            String report = calls.require("GET", engine.uri("/control/report"), "");
            return UpstreamRecords.parse(report).path("incarnation").asText();
        }
    }
}
