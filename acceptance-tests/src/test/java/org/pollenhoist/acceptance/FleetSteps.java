package org.pollenhoist.acceptance;

import io.cucumber.java.en.Given;
import org.pollenhoist.experiments.processes.FleetPlan;

/** Steps that set a fleet up. */
public class FleetSteps {

    @Given("the Thalassa fleet with {int} entry VM(s)")
    public void thalassaFleet(int entryVms) {
        World.current().useFleet(FleetPlan.thalassa(entryVms));
    }

    @Given("the Thalassa fleet with {int} entry VM(s) that wait(s) {int} s for a slow caller")
    public void fleetWithIdleTimeout(int entryVms, int seconds) {
        World.current()
                .useFleet(FleetPlan.thalassa(entryVms)
                        .withCallerSettings("idle_timeout_seconds = " + seconds, "maximum_body_bytes = 65536"));
    }

    @Given("a key of team {string}")
    public void keyOfTeam(String team) {
        World.current().useKeyOf(team);
    }

    @Given("a key that nobody has given")
    public void unknownKey() {
        World.current().useKey("ph_0123456789ab_0000000000000000000000000000000000000000000000000000000000000000");
    }

    @Given("no key")
    public void noKey() {
        World.current().useKey("");
    }
}
