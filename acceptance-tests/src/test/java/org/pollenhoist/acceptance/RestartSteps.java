package org.pollenhoist.acceptance;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

/** Planned stops of entry VMs. */
public class RestartSteps {

    private static final int FEWEST_ANSWERS = 100;

    private final RestartUnderLoad restart = new RestartUnderLoad();

    @When("all 3 entry VMs of a fleet are restarted in turn under load")
    public void restartAll() throws InterruptedException {
        restart.run("rolling-restart");
    }

    @Then("no request was cut")
    public void noneCut() {
        assertThat(restart.cuts()).isEmpty();
        assertThat(restart.answered()).isGreaterThan(FEWEST_ANSWERS);
    }

    @Then("no request was refused inside the team's rate")
    public void noneRefused() {
        assertThat(restart.refusals()).isEmpty();
    }
}
