package org.pollenhoist.acceptance;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.pollenhoist.experiments.processes.Fleet;
import org.pollenhoist.experiments.processes.FleetMember;
import org.pollenhoist.experiments.processes.FleetPlan;
import org.pollenhoist.experiments.processes.HttpCalls;

/** One request's life over real processes that are killed and restarted. */
class RequestLifeTest {

    private static final Path DIRECTORY = Path.of("target", "fleets", "request-life");
    private static final Duration PATIENCE = Duration.ofSeconds(20);

    private static HttpResponse<String> book(FleetMember entry, String key, String marker) {
        return new HttpCalls()
                .call(
                        "POST",
                        entry.uri("/bookings"),
                        "marker=" + marker,
                        "Authorization",
                        "Bearer " + key,
                        "X-Pollenhoist-Profile",
                        "quay-briefing",
                        "Idempotency-Key",
                        marker);
    }

    static HttpResponse<String> complete(FleetMember entry, String key, String prompt) {
        return new HttpCalls()
                .call(
                        "POST",
                        entry.uri("/v1/completions"),
                        "{\"model\":\"scribe\",\"prompt\":\"" + prompt + "\",\"max_tokens\":8}",
                        "Content-Type",
                        "application/json",
                        "Authorization",
                        "Bearer " + key,
                        "X-Pollenhoist-Profile",
                        "quay-briefing");
    }

    static String giveKey(Fleet fleet) {
        return fleet.giveKey("crews").reveal();
    }

    static void awaitAccepted(Fleet fleet, String key) {
        for (FleetMember entry : fleet.entries()) {
            await().atMost(PATIENCE).until(() -> complete(entry, key, "warm up").statusCode() == 200);
        }
    }

    private static void setServiceFaults(Fleet fleet, String faults) {
        fleet.services().forEach(service -> new HttpCalls().require("PUT", service.uri("/faults"), faults));
    }

    @Nested
    class Booking {

        @Test
        void should_run_once_and_give_the_same_answer_when_it_is_repeated_through_another_vm() {
            try (Fleet fleet = Fleet.start(FleetPlan.thalassa(3), DIRECTORY.resolve("repeat"))) {
                String key = giveKey(fleet);
                awaitAccepted(fleet, key);
                for (int number = 0; number < 9; number++) {
                    String marker = "repeat-" + number;
                    HttpResponse<String> first = book(fleet.entries().get(number % 3), key, marker);
                    HttpResponse<String> again = book(fleet.entries().get((number + 1) % 3), key, marker);
                    assertThat(first.statusCode()).as(first.body()).isEqualTo(200);
                    assertThat(again.body()).isEqualTo(first.body());
                    assertThat(UpstreamRecords.ofServices(fleet, marker)).hasSize(1);
                }
            }
        }

        @Test
        void should_end_as_unknown_and_never_run_again_when_its_answer_breaks_off() {
            try (Fleet fleet = Fleet.start(FleetPlan.thalassa(3), DIRECTORY.resolve("half"))) {
                String key = giveKey(fleet);
                awaitAccepted(fleet, key);
                setServiceFaults(fleet, "{\"halfAnswer\":true}");
                HttpResponse<String> first = book(fleet.entries().get(0), key, "half-1");
                setServiceFaults(fleet, "{}");
                HttpResponse<String> again = book(fleet.entries().get(1), key, "half-1");
                assertThat(first.body()).contains("outcome_unknown").contains("\"not_run\":false");
                assertThat(again.body()).contains("outcome_unknown").contains("\"not_run\":false");
                assertThat(UpstreamRecords.ofServices(fleet, "half-1")).hasSize(1);
            }
        }

        @Tag("known-red")
        @Test
        void should_end_as_unknown_when_its_upstream_is_killed_while_it_runs() {
            try (Fleet fleet = Fleet.start(FleetPlan.thalassa(3), DIRECTORY.resolve("upstream"))) {
                String key = giveKey(fleet);
                awaitAccepted(fleet, key);
                setServiceFaults(fleet, "{\"delayMilliseconds\":3000}");
                CompletableFuture<HttpResponse<String>> running =
                        CompletableFuture.supplyAsync(() -> book(fleet.entries().get(0), key, "killed-1"));
                await().atMost(PATIENCE)
                        .until(() ->
                                !UpstreamRecords.ofServices(fleet, "killed-1").isEmpty());
                serviceThatRuns(fleet, "killed-1").process().kill();
                assertThat(running.join().body()).contains("outcome_unknown").contains("\"not_run\":false");
                assertThat(book(fleet.entries().get(1), key, "killed-1").body()).contains("outcome_unknown");
                List<FleetMember> alive = fleet.services().stream()
                        .filter(service -> service.process().isAlive())
                        .toList();
                assertThat(alive)
                        .hasSize(2)
                        .noneMatch(service -> recordsOf(service).contains("killed-1"));
            }
        }

        @Tag("known-red")
        @Test
        void should_never_run_again_when_the_vm_that_ran_it_is_killed() {
            try (Fleet fleet = Fleet.start(FleetPlan.thalassa(6), DIRECTORY.resolve("entry"))) {
                String key = giveKey(fleet);
                awaitAccepted(fleet, key);
                setServiceFaults(fleet, "{\"delayMilliseconds\":2000}");
                for (int number = 0; number < 2; number++) {
                    String marker = "entry-killed-" + number;
                    FleetMember dying = fleet.entries().get(number);
                    CompletableFuture<HttpResponse<String>> running =
                            CompletableFuture.supplyAsync(() -> book(dying, key, marker));
                    await().atMost(PATIENCE)
                            .until(() ->
                                    !UpstreamRecords.ofServices(fleet, marker).isEmpty());
                    dying.process().kill();
                    assertThat(running).failsWithin(PATIENCE);
                    for (FleetMember entry : fleet.entries().subList(2, 6)) {
                        assertThat(book(entry, key, marker).body()).doesNotContain("\"not_run\":true");
                    }
                    assertThat(UpstreamRecords.ofServices(fleet, marker)).hasSize(1);
                }
            }
        }

        private FleetMember serviceThatRuns(Fleet fleet, String marker) {
            return fleet.services().stream()
                    .filter(service -> recordsOf(service).contains(marker))
                    .findFirst()
                    .orElseThrow();
        }

        private String recordsOf(FleetMember service) {
            return new HttpCalls().require("GET", service.uri("/faults/records"), "");
        }
    }

    @Nested
    class PoisonousRequest {

        @Test
        void should_take_two_engines_at_most_and_get_the_same_final_answer_afterwards() {
            FleetPlan plan = FleetPlan.thalassa(3).withEngines(5, "--crash-text", "poison");
            try (Fleet fleet = Fleet.start(plan, DIRECTORY.resolve("poison"))) {
                String key = giveKey(fleet);
                awaitAccepted(fleet, key);
                List<String> answers = new ArrayList<>();
                for (int number = 0; number < 9; number++) {
                    answers.add(complete(fleet.entries().get(number % 3), key, "poison of the sea")
                            .body());
                }
                await().atMost(PATIENCE).until(() -> crashedEngines(fleet) >= 2);
                assertThat(answers.subList(3, 9)).allMatch(answer -> answer.contains("request_quarantined"));
                assertThat(complete(fleet.entries().get(0), key, "a calm sea").statusCode())
                        .isEqualTo(200);
                assertThat(crashedEngines(fleet)).isEqualTo(2);
            }
        }

        private static long crashedEngines(Fleet fleet) {
            return fleet.engines().stream()
                    .filter(engine -> !engine.process().isAlive())
                    .count();
        }
    }
}
