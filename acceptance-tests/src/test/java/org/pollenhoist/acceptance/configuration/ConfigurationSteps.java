package org.pollenhoist.acceptance.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.pollenhoist.experiments.processes.CommandResult;
import org.pollenhoist.experiments.processes.FleetMember;
import org.pollenhoist.experiments.processes.HttpCalls;

/** Steps on configurations and keys. */
public final class ConfigurationSteps {

    private static final int ACCEPTED_NOT_YET_EVERYWHERE = 7;
    private static final int CONFLICT = 3;
    private static final long REVISION_OF_FIRST_CHANGE = 2;
    private static final int TOKENS_OF_LONG_STREAM = 2_000;
    private static final String REQUEST =
            "{\"model\":\"scribe\",\"max_tokens\":4,\"messages\":[{\"role\":\"user\",\"content\":\"tides\"}]}";

    private final HttpCalls callerConnection = new HttpCalls();
    private OperatedFleet fleet;
    private FleetMember entry;
    private JsonNode key;
    private StreamReader stream;
    private long expectedRevision;
    private List<CommandResult> results = List.of();

    @After
    public void stop() {
        if (fleet != null) {
            fleet.close();
        }
    }

    @Given("entry VMs in the failure domains piraeus, lavrio and rafina")
    public void start() {
        fleet = OperatedFleet.start();
    }

    @Given("a caller of team {word} with a connection to {word} on which a request was answered")
    public void connect(String team, String vm) {
        entry = fleet.fleet().entry(vm);
        key = fleet.give(team);
        await().atMost(Duration.ofSeconds(20)).until(() -> status() == 200);
    }

    @Given("a caller of team {word} who reads a long stream from {word}")
    public void openStream(String team, String vm) {
        connect(team, vm);
        stream = StreamReader.open(
                entry.uri("/v1/chat/completions"), key.path("key").asText(), TOKENS_OF_LONG_STREAM);
        await().atMost(Duration.ofSeconds(20)).until(() -> stream.events() > 3);
    }

    private int status() {
        return callerConnection
                .call(
                        "POST",
                        entry.uri("/v1/chat/completions"),
                        REQUEST,
                        "Authorization",
                        "Bearer " + key.path("key").asText())
                .statusCode();
    }

    @Given("the failure domain {word} is cut off from the platform")
    public void cutFromPlatform(String domain) {
        fleet.setFaults("{\"cutDomains\":[\"" + domain + "\"]}");
    }

    @Given("the platform is down")
    public void stopPlatform() {
        expectedRevision = fleet.latestRevision();
        fleet.setFaults("{\"outage\":\"SILENT\"}");
    }

    @When("the operator withdraws the caller's key")
    public void withdraw() {
        CommandResult result = fleet.withdraw(key.path("identifier").asText());
        assertThat(result.exitCode()).as(result.output()).isIn(0, ACCEPTED_NOT_YET_EVERYWHERE);
    }

    @When("the operator applies a change")
    public void apply() {
        CommandResult result = fleet.applyChange(fleet.newChange());
        assertThat(result.exitCode()).as(result.output()).isIn(0, ACCEPTED_NOT_YET_EVERYWHERE);
    }

    @When("{int} operators apply different changes to the same revision at once")
    public void race(int operators) {
        expectedRevision = fleet.latestRevision();
        List<CompletableFuture<CommandResult>> running = new ArrayList<>();
        for (int operator = 0; operator < operators; operator++) {
            Path file = fleet.newChange();
            running.add(CompletableFuture.supplyAsync(
                    () -> fleet.applyChange(file, "--expect-revision", Long.toString(expectedRevision)),
                    command -> Thread.ofPlatform().start(command)));
        }
        results = running.stream().map(CompletableFuture::join).toList();
    }

    @When("{word} is killed and started again")
    public void restart(String vm) {
        fleet.fleet().entry(vm).process().kill();
        entry = fleet.fleet().restartEntry(vm);
    }

    @Then("requests on the caller's connection are refused with {int} within {int} seconds")
    public void requireRefusal(int status, int seconds) {
        await().atMost(Duration.ofSeconds(seconds))
                .pollInterval(Duration.ofMillis(50))
                .until(() -> status() == status);
        assertThat(status()).isEqualTo(status);
    }

    @Then("the caller's stream ends within {int} seconds, long before its last token")
    public void requireEndOfStream(int seconds) {
        await().atMost(Duration.ofSeconds(seconds)).until(stream::hasEnded);
        assertThat(stream.events()).isLessThan(TOKENS_OF_LONG_STREAM / 2);
    }

    @Then("the change is in force on all VMs within {int} seconds")
    public void requireInForce(int seconds) {
        await().atMost(Duration.ofSeconds(seconds)).until(() -> fleet.isInForceOnAll(REVISION_OF_FIRST_CHANGE));
        assertThat(fleet.revisions()).containsOnly(REVISION_OF_FIRST_CHANGE);
    }

    @Then("{word} is ready with the revision that the others have")
    public void requireReady(String vm) {
        assertThat(fleet.revisions()).containsOnly(expectedRevision);
    }

    @Then("one is told that its change is accepted, the others that the revision is taken")
    public void requireOneWinner() {
        List<Integer> exitCodes = results.stream().map(CommandResult::exitCode).toList();
        assertThat(exitCodes).as(results.toString()).isSubsetOf(0, ACCEPTED_NOT_YET_EVERYWHERE, CONFLICT);
        assertThat(exitCodes.stream().filter(code -> code != CONFLICT)).hasSize(1);
        assertThat(results.stream().filter(result -> result.exitCode() == CONFLICT))
                .allMatch(result -> result.output().contains("this change is for revision " + expectedRevision));
    }

    @Then("the accepted change alone is in force on all VMs within {int} seconds")
    public void requireSingleRevision(int seconds) {
        await().atMost(Duration.ofSeconds(seconds)).until(() -> fleet.isInForceOnAll(expectedRevision + 1));
        assertThat(fleet.revisions()).containsOnly(expectedRevision + 1);
    }
}
