package org.pollenhoist.acceptance;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.configuration.TeamKey;
import org.pollenhoist.experiments.processes.Fleet;
import org.pollenhoist.experiments.processes.FleetMember;
import org.pollenhoist.experiments.processes.FleetPlan;
import org.pollenhoist.experiments.processes.HttpCalls;

/** Requests that are ended by us while the engine still works on them. */
class EndedRequestTest {

    private static final Path DIRECTORY = Path.of("target", "fleets", "ended");
    private static final Duration PATIENCE = Duration.ofSeconds(20);

    private static HttpResponse<String> complete(FleetMember entry, TeamKey key, int tokens) {
        return new HttpCalls()
                .call(
                        "POST",
                        entry.uri("/v1/completions"),
                        "{\"model\":\"scribe\",\"prompt\":\"tides\",\"max_tokens\":" + tokens + "}",
                        "Content-Type",
                        "application/json",
                        "Authorization",
                        "Bearer " + key.reveal());
    }

    private static HttpResponse<String> completeOnceAdmitted(FleetMember entry, TeamKey key, int tokens) {
        HttpResponse<String> answer = complete(entry, key, tokens);
        while (answer.statusCode() == 429) {
            answer = complete(entry, key, tokens);
        }
        return answer;
    }

    @Nested
    class Tokens {

        /** This VM holds 20 tokens of the burst and 5/3 tokens a second; the engine takes 8 s for 16 tokens. */
        @Test
        void should_stay_reserved_while_the_engine_runs_when_the_key_was_withdrawn() {
            FleetPlan plan = FleetPlan.thalassa(1).withEngines(1, "--token-millis", "500", "--first-token-millis", "0");
            try (Fleet fleet = Fleet.start(plan, DIRECTORY)) {
                FleetMember entry = fleet.entries().get(0);
                TeamKey withdrawn = fleet.giveKey("agency");
                TeamKey kept = fleet.giveKey("agency");
                await().atMost(PATIENCE).until(() -> complete(entry, kept, 1).statusCode() == 200);
                CompletableFuture<HttpResponse<String>> running =
                        CompletableFuture.supplyAsync(() -> completeOnceAdmitted(entry, withdrawn, 16));
                await().atMost(PATIENCE)
                        .until(() -> new HttpCalls()
                                .require("GET", fleet.engines().get(0).uri("/control/report"), "")
                                .contains("\"running\":1"));

                fleet.withdrawKey(withdrawn.identifier());

                assertThat(running.join().body()).contains("the key was withdrawn");
                assertThat(complete(entry, kept, 12).statusCode()).isEqualTo(429);
            }
        }
    }
}
