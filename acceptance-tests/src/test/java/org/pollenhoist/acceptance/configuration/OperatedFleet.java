package org.pollenhoist.acceptance.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import org.pollenhoist.experiments.processes.CommandResult;
import org.pollenhoist.experiments.processes.Fleet;
import org.pollenhoist.experiments.processes.FleetConfiguration;
import org.pollenhoist.experiments.processes.FleetMember;
import org.pollenhoist.experiments.processes.FleetPlan;
import org.pollenhoist.experiments.processes.HttpCalls;

/** A fleet of processes whose operators use the command line. */
final class OperatedFleet implements AutoCloseable {

    private static final Path DIRECTORY = Path.of("target", "fleets", "configuration");
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String RATE = "tokens_per_second = 1000000";

    private final Fleet fleet;
    private final HttpCalls calls = new HttpCalls();
    private int changes;

    private OperatedFleet(Fleet fleet) {
        this.fleet = fleet;
    }

    static OperatedFleet start() {
        Fleet fleet = Fleet.start(FleetPlan.thalassa(3).withEngines(3, "--token-millis", "50"), DIRECTORY);
        OperatedFleet operated = new OperatedFleet(fleet);
        operated.listVms();
        return operated;
    }

    private void listVms() {
        String vms = fleet.entries().stream()
                .map(entry -> "{\"name\":\"" + entry.name() + "\",\"address\":\"" + FleetMember.ADDRESS
                        + "\",\"port\":" + entry.port() + ",\"failureDomain\":\"" + entry.failureDomain()
                        + "\",\"leaving\":false}")
                .collect(Collectors.joining(","));
        calls.require("PUT", fleet.platform().uri("/faults/vms"), "{\"vms\":[" + vms + "],\"lagMilliseconds\":0}");
    }

    Fleet fleet() {
        return fleet;
    }

    void setFaults(String faults) {
        calls.require("PUT", fleet.platform().uri("/faults"), faults);
    }

    JsonNode give(String team) {
        return json(fleet.requireCommand("--output", "json", "keys", "give", team))
                .path(0);
    }

    CommandResult withdraw(String identifier) {
        return fleet.command("--wait-seconds", "0", "keys", "withdraw", identifier);
    }

    /** Applies a configuration that differs from every other; returns what came of it. */
    CommandResult applyChange(Path file, String... options) {
        String[] arguments = new String[options.length + 4];
        arguments[0] = "--wait-seconds";
        arguments[1] = "0";
        arguments[2] = "apply";
        arguments[3] = file.toString();
        System.arraycopy(options, 0, arguments, 4, options.length);
        return fleet.command(arguments);
    }

    synchronized Path newChange() {
        changes++;
        String text = FleetConfiguration.write(fleet.engines(), fleet.services())
                .replace(RATE, "tokens_per_second = " + (1_000_000 + changes));
        try {
            return Files.writeString(DIRECTORY.resolve("change-" + changes + ".toml"), text);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    long latestRevision() {
        return json(fleet.requireCommand("--output", "json", "show"))
                .path(0)
                .path("revision")
                .asLong();
    }

    long revisionOf(FleetMember entry) {
        String status = calls.require("GET", entry.uri("/internal/status"), "");
        try {
            return MAPPER.readTree(status).path("revision").asLong();
        } catch (IOException exception) {
            throw new AssertionError("no JSON: " + status, exception);
        }
    }

    boolean isInForceOnAll(long revision) {
        return fleet.entries().stream().allMatch(entry -> revisionOf(entry) >= revision);
    }

    List<Long> revisions() {
        return fleet.entries().stream().map(this::revisionOf).toList();
    }

    /** Logs may stand around the list that a command prints. */
    private static JsonNode json(String output) {
        int start = output.indexOf('[');
        int end = output.lastIndexOf(']');
        try {
            return MAPPER.readTree(output.substring(start, end + 1));
        } catch (IOException | StringIndexOutOfBoundsException exception) {
            throw new AssertionError("no JSON in: " + output, exception);
        }
    }

    @Override
    public void close() {
        fleet.close();
    }
}
