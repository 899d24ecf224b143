package org.pollenhoist.acceptance;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.time.Duration;
import org.awaitility.Awaitility;
import org.pollenhoist.experiments.processes.CommandResult;
import org.pollenhoist.experiments.processes.FleetMember;

/** Steps of an operator with the command line. */
public class OperatorSteps {

    private static final Duration DEADLINE = Duration.ofSeconds(30);
    private static final int UNAUTHORIZED = 401;

    @When("the operator withdraws the key")
    public void withdrawKey() {
        String identifier = World.current().key().split("_", -1)[1];
        CommandResult result = World.current().fleet().command("keys", "withdraw", identifier);
        assertThat(result.exitCode()).as(result.output()).isZero();
    }

    @Then("every entry VM soon refuses the key")
    public void everyVmRefusesTheKey() {
        World world = World.current();
        world.fleet()
                .entries()
                .forEach(entry ->
                        Awaitility.await().atMost(DEADLINE).until(() -> statusOf(world, entry) == UNAUTHORIZED));
    }

    private static int statusOf(World world, FleetMember entry) {
        return world.calls()
                .call("GET", entry.uri("/v1/models"), "", "Authorization", "Bearer " + world.key())
                .statusCode();
    }

    @When("the operator drains {string}")
    public void drain(String name) {
        CommandResult result = World.current().fleet().command("drain", name);
        assertThat(result.exitCode()).as(result.output()).isZero();
    }

    @Then("entry VM {string} ends with {int}")
    public void endsWith(String name, int exitCode) {
        FleetMember entry = World.current().fleet().entry(name);
        Awaitility.await().atMost(DEADLINE).until(() -> !entry.process().isAlive());
        assertThat(entry.process().awaitEnd()).isEqualTo(exitCode);
    }
}
