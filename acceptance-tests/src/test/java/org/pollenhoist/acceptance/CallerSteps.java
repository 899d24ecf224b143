package org.pollenhoist.acceptance;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.net.URI;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Steps of a caller over plain HTTP. */
public class CallerSteps {

    private static final int MOST_TRIES = 200;

    @When("it posts a booking to {string}")
    public void postBooking(String path) {
        World world = World.current();
        world.setAnswer(send("POST", world.firstEntry().uri(path), "{\"trip\":\"marker=" + world.marker() + "\"}"));
    }

    @When("it gets {string}")
    public void get(String path) {
        World world = World.current();
        world.setAnswer(send("GET", world.firstEntry().uri(path), ""));
    }

    @When("it posts a booking with its key in the header, a cookie, the query and a header of its own")
    public void postBookingWithKeyEverywhere() {
        World world = World.current();
        String key = world.key();
        URI uri = world.firstEntry().uri("/bookings/today?party=4&api_key=" + key);
        world.setAnswer(world.calls()
                .call(
                        "POST",
                        uri,
                        "marker=" + world.marker(),
                        "Authorization",
                        "Bearer " + key,
                        "Cookie",
                        "session=" + key,
                        "X-Api-Key",
                        key));
    }

    @When("it asks {string} for a completion")
    public void complete(String model) {
        World world = World.current();
        world.setAnswer(send("POST", world.firstEntry().uri("/v1/completions"), completionBody(model)));
    }

    @When("it asks {string} for completions until one is refused")
    public void completeUntilRefused(String model) {
        for (int attempt = 0; attempt < MOST_TRIES; attempt++) {
            World.current().renewMarker();
            complete(model);
            if (World.current().answer().statusCode() != 200) {
                return;
            }
        }
        throw new AssertionError("none of " + MOST_TRIES + " completions was refused");
    }

    private static String completionBody(String model) {
        return "{\"model\":\"" + model + "\",\"max_tokens\":8,\"prompt\":\"marker="
                + World.current().marker() + "\"}";
    }

    private static HttpResponse<String> send(String method, URI uri, String body) {
        World world = World.current();
        List<String> headers = new ArrayList<>(List.of("Content-Type", "application/json"));
        if (!world.key().isEmpty()) {
            headers.addAll(List.of("Authorization", "Bearer " + world.key()));
        }
        return world.calls().call(method, uri, body, headers.toArray(new String[0]));
    }

    @Then("the answer is {int} and belongs to its request")
    public void answerBelongs(int status) {
        assertThat(World.current().answer().body()).contains(World.current().marker());
        assertThat(World.current().answer().statusCode()).isEqualTo(status);
    }

    @Then("the answer is {int}")
    public void answerIs(int status) {
        assertThat(World.current().answer().statusCode())
                .as(World.current().answer().body())
                .isEqualTo(status);
    }

    @Then("the answer names the model {string}")
    public void answerNamesModel(String model) {
        JsonNode models = UpstreamRecords.parse(World.current().answer().body()).path("data");
        assertThat(models).extracting(entry -> entry.path("id").asText()).contains(model);
    }

    @Then("it is refused with {int} {string} as not run")
    public void refused(int status, String code) {
        HttpResponse<String> answer = World.current().answer();
        assertThat(answer.statusCode()).as(answer.body()).isEqualTo(status);
        JsonNode error = UpstreamRecords.parse(answer.body()).path("error");
        assertThat(error.path("code").asText()).isEqualTo(code);
        assertThat(error.path("message").asText()).isNotBlank();
        assertThat(error.path("not_run").asBoolean(false)).isTrue();
        assertThat(UpstreamRecords.ofAll(
                        World.current().fleet(), World.current().marker()))
                .isEmpty();
    }

    @Then("the refusal says when to come back")
    public void saysWhenToComeBack() {
        HttpResponse<String> answer = World.current().answer();
        assertThat(answer.headers().firstValueAsLong("Retry-After").orElse(-1)).isBetween(1L, 60L);
    }

    @Then("exactly {int} plain service(s) ran it, once")
    public void servicesRan(int count) {
        assertThat(UpstreamRecords.ofServices(
                        World.current().fleet(), World.current().marker()))
                .hasSize(count);
    }

    @Then("exactly {int} engine(s) ran it, once")
    public void enginesRan(int count) {
        assertThat(UpstreamRecords.ofEngines(
                        World.current().fleet(), World.current().marker()))
                .hasSize(count);
    }

    @Then("no upstream has seen the key")
    public void noUpstreamHasSeenTheKey() {
        assertThat(UpstreamRecords.ofAll(
                        World.current().fleet(), World.current().key()))
                .isEmpty();
        assertThat(UpstreamRecords.ofAll(
                        World.current().fleet(), World.current().marker()))
                .allSatisfy(entry -> assertThat(entry.path("headers").toString().toLowerCase(Locale.ROOT))
                        .doesNotContain("authorization", "x-api-key", "cookie"));
    }
}
