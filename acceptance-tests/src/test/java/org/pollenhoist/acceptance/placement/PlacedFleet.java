package org.pollenhoist.acceptance.placement;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.pollenhoist.experiments.processes.Fleet;
import org.pollenhoist.experiments.processes.FleetConfiguration;
import org.pollenhoist.experiments.processes.FleetMember;
import org.pollenhoist.experiments.processes.FleetPlan;
import org.pollenhoist.experiments.processes.FreePorts;
import org.pollenhoist.experiments.processes.HttpCalls;
import org.pollenhoist.experiments.processes.JavaProgram;
import org.pollenhoist.experiments.processes.LocalProcess;
import org.pollenhoist.experiments.processes.ProcessGroup;

/** Engines and placement processes of one failure domain. */
final class PlacedFleet implements AutoCloseable {

    private static final String DOMAIN = "piraeus";
    private static final String PLACEMENT_CLASS = "org.pollenhoist.daemons.placement.PlacementDaemon";
    private static final int HEAP_MEBIBYTES = 128;
    private static final String MODEL = """

            [models.%s]
            version = "1"
            pool = "scribe"
            memory_gigabytes = 20
            """;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Path directory;
    private final Fleet fleet;
    private final ProcessGroup processes;
    private final List<FleetMember> placements = new ArrayList<>();
    private final List<String> models = new ArrayList<>(List.of("scribe"));
    private final HttpCalls calls = new HttpCalls();

    private PlacedFleet(Path directory, Fleet fleet) {
        this.directory = directory;
        this.fleet = fleet;
        this.processes = new ProcessGroup(directory);
    }

    static PlacedFleet start(String scenario, int engines, int placementProcesses) {
        Path directory = Path.of("target", "fleets", "placement", scenario);
        List<String> slowLoads = List.of("--load-bytes-per-second", "5000000000");
        FleetPlan plan = new FleetPlan(List.of(DOMAIN), 0, engines, 1, false, slowLoads, List.of(), List.of());
        PlacedFleet placed = new PlacedFleet(directory, Fleet.startStandIns(plan, directory));
        try {
            placed.add("briefing");
            for (int number = 1; number <= placementProcesses; number++) {
                placed.startPlacement("placement-" + number);
            }
            return placed;
        } catch (RuntimeException failure) {
            placed.close();
            throw failure;
        }
    }

    /** Adds a model to the configuration. */
    void add(String model) {
        models.add(model);
        StringBuilder text = new StringBuilder(FleetConfiguration.write(fleet.engines(), fleet.services()));
        models.stream().skip(1).forEach(name -> text.append(MODEL.formatted(name)));
        fleet.apply(text.toString());
    }

    private void startPlacement(String name) {
        int port = FreePorts.next();
        String settings = "[vm]\nname = \"" + name + "\"\nfailure_domain = \"" + DOMAIN + "\"\n"
                + "[metrics]\naddress = \"127.0.0.1\"\nport = " + port + "\n"
                + "[peers]\naddress = \"127.0.0.1\"\nport = " + FreePorts.next() + "\nseeds = []\n"
                + "[platform]\naddress = \"127.0.0.1\"\nport = "
                + fleet.platform().port() + "\n";
        Path file = directory.resolve(name + ".toml");
        try {
            Files.writeString(file, settings);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        String classPath = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
        LocalProcess process = processes.start(new JavaProgram(
                name, PLACEMENT_CLASS, classPath, HEAP_MEBIBYTES, List.of("--settings", file.toString())));
        placements.add(new FleetMember(name, DOMAIN, port, process));
    }

    List<String> models() {
        return models;
    }

    List<FleetMember> placements() {
        return placements;
    }

    /** Returns the process that says that it acts, where there is one. */
    Optional<FleetMember> acting() {
        return placements.stream().filter(this::isActing).findFirst();
    }

    boolean isActing(FleetMember placement) {
        boolean isAnswering = placement.process().isAlive()
                && calls.status(placement.uri("/health/live")).isPresent();
        return isAnswering
                && calls.require("GET", placement.uri("/metrics"), "").contains("pollenhoist_placement_acting 1.0");
    }

    List<FleetMember> engines() {
        return fleet.engines();
    }

    void restartEngine(String name) {
        fleet.restartEngine(name);
    }

    Optional<JsonNode> report(FleetMember engine) {
        if (!engine.process().isAlive()) {
            return Optional.empty();
        }
        try {
            return Optional.of(MAPPER.readTree(calls.require("GET", engine.uri("/control/report"), "")));
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Returns the engines that hold a model in a state. */
    List<FleetMember> holders(String model, String state) {
        return engines().stream()
                .filter(engine -> report(engine).stream().anyMatch(report -> holds(report, model, state)))
                .toList();
    }

    private static boolean holds(JsonNode report, String model, String state) {
        for (JsonNode resident : report.path("residents")) {
            if (resident.path("name").asText().equals(model)
                    && resident.path("state").asText().equals(state)) {
                return true;
            }
        }
        return false;
    }

    String logs() {
        StringBuilder logs = new StringBuilder();
        placements.forEach(placement -> logs.append(placement.process().log()));
        return logs.toString();
    }

    @Override
    public void close() {
        processes.close();
        fleet.close();
    }
}
