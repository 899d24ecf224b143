package org.pollenhoist.acceptance.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.cucumber.java.After;
import io.cucumber.java.Scenario;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.time.Duration;
import java.util.UUID;
import org.pollenhoist.experiments.processes.FleetMember;

/** Steps on placement processes. */
public final class PlacementSteps {

    private static final Duration DEADLINE = Duration.ofSeconds(90);
    private static final int SPARED_COPIES = 2;
    private static final int TERMINATED_CLEANLY = 0;

    private PlacedFleet fleet;
    private FleetMember formerActing;

    @After
    public void stop(Scenario scenario) {
        if (fleet != null) {
            if (scenario.isFailed()) {
                scenario.log(fleet.logs());
            }
            fleet.close();
        }
    }

    @Given("{int} engines and {int} placement processes in one failure domain")
    public void start(int engines, int placementProcesses) {
        fleet = PlacedFleet.start(UUID.randomUUID().toString(), engines, placementProcesses);
    }

    @Given("every model is ready on two engines")
    @Then("every model gets ready on two engines")
    public void everyModelIsReady() {
        await().atMost(DEADLINE).untilAsserted(() -> {
            assertThat(fleet.models())
                    .allSatisfy(model -> assertThat(fleet.holders(model, "ready"))
                            .as("engines with %s", model)
                            .hasSizeGreaterThanOrEqualTo(SPARED_COPIES));
            memoryIsKept();
        });
    }

    @When("the acting placement process is killed")
    public void killActing() {
        formerActing = awaitActing();
        formerActing.process().kill();
    }

    @When("the acting placement process is paused until another one acts")
    public void pauseActing() {
        formerActing = awaitActing();
        formerActing.process().signal("STOP");
        await().atMost(DEADLINE)
                .until(() -> fleet.placements().stream()
                        .filter(placement -> !placement.name().equals(formerActing.name()))
                        .anyMatch(fleet::isActing));
    }

    @When("it is woken")
    public void wake() {
        formerActing.process().signal("CONT");
    }

    @When("the acting placement process is asked to stop")
    public void terminateActing() {
        formerActing = awaitActing();
        assertThat(formerActing.process().stop()).isEqualTo(TERMINATED_CLEANLY);
    }

    private FleetMember awaitActing() {
        await().atMost(DEADLINE).until(() -> fleet.acting().isPresent());
        return fleet.acting().orElseThrow();
    }

    @When("the model {string} is added")
    public void add(String model) {
        fleet.add(model);
    }

    @When("an engine is killed while it loads {string}, and restarted")
    public void killWhileLoading(String model) {
        await().atMost(DEADLINE).until(() -> !fleet.holders(model, "loading").isEmpty());
        FleetMember engine = fleet.holders(model, "loading").get(0);
        engine.process().kill();
        fleet.restartEngine(engine.name());
    }

    @Then("another placement process acts")
    public void anotherActs() {
        assertThat(awaitActing().name()).isNotEqualTo(formerActing.name());
    }

    @Then("exactly one placement process acts")
    public void exactlyOneActs() {
        await().atMost(DEADLINE)
                .untilAsserted(() -> assertThat(fleet.placements().stream().filter(fleet::isActing))
                        .hasSize(1));
    }

    @Then("no engine's memory was ever taken twice")
    public void memoryIsKept() {
        fleet.engines()
                .forEach(engine -> fleet.report(engine)
                        .ifPresent(report -> assertThat(report.path("usedBytes").asLong())
                                .as("memory of %s", engine.name())
                                .isLessThanOrEqualTo(report.path("memoryBytes").asLong())));
        assertThat(fleet.logs()).doesNotContain("answer=refused_no_memory");
    }
}
