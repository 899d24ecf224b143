package org.pollenhoist.acceptance;

import io.cucumber.java.After;
import io.cucumber.java.Before;
import io.cucumber.java.Scenario;

/** Creates each scenario's world and ends what belongs to it alone. */
public class Hooks {

    @Before
    public void begin(Scenario scenario) {
        World.begin(scenario.getSourceTagNames().contains("@own-fleet"));
    }

    @After
    public void end() {
        World.end();
    }
}
