package org.pollenhoist.acceptance;

import io.cucumber.java.en.Given;

public class ProbeSteps {
    @Given("nothing")
    public void nothing() {}
}
