package org.pollenhoist.experiments.processes;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.configuration.ConfigurationReader;
import org.pollenhoist.configuration.TeamKey;
import org.pollenhoist.experiments.ExperimentException;
import org.pollenhoist.operator.ConfigurationCommit;
import org.pollenhoist.operator.Pause;
import org.pollenhoist.platform.HttpPlatformService;

/**
 * A fleet of real processes on loopback: the stand-ins, the entry VMs and, where planned, placement processes. All end
 * when it is closed, and at the latest when this virtual machine ends.
 */
public final class Fleet implements AutoCloseable {

    private static final String ENTRY_CLASS = "org.pollenhoist.daemons.entry.EntryDaemon";
    private static final String PLACEMENT_CLASS = "org.pollenhoist.daemons.placement.PlacementDaemon";
    private static final String COMMAND_CLASS = "org.pollenhoist.commandline.PollenhoistCommand";
    private static final String PLATFORM_CLASS = "org.pollenhoist.standins.platform.PlatformStandIn";
    private static final String ENGINE_CLASS = "org.pollenhoist.standins.engine.EngineStandIn";
    private static final String SERVICE_CLASS = "org.pollenhoist.standins.service.ServiceStandIn";
    private static final int ENTRY_HEAP_MEBIBYTES = 128;
    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(5);
    private static final int OK = 200;

    private final FleetPlan plan;
    private final Path directory;
    private final String classPath;
    private final ProcessGroup processes;
    private final HttpCalls calls = new HttpCalls();
    private final List<FleetMember> engines = new ArrayList<>();
    private final List<FleetMember> services = new ArrayList<>();
    private final List<FleetMember> entries = new ArrayList<>();
    private final List<FleetMember> placements = new ArrayList<>();
    private FleetMember platform;

    private Fleet(FleetPlan plan, Path directory, String classPath) {
        this.plan = plan;
        this.directory = directory;
        this.classPath = classPath;
        this.processes = new ProcessGroup(directory);
    }

    /**
     * Starts the platform, the engines and the plain services of a fleet. Entry VMs come with {@link #startEntries()}.
     *
     * @param plan which processes
     * @param directory where settings and logs go
     * @return the fleet, whose stand-ins answer
     */
    public static Fleet startStandIns(FleetPlan plan, Path directory) {
        Fleet fleet = new Fleet(plan, directory, ownClassPath());
        try {
            fleet.startUpstreams();
            return fleet;
        } catch (RuntimeException e) {
            fleet.close();
            throw e;
        }
    }

    /**
     * Starts a whole fleet, applies its configuration and waits until each entry VM is ready.
     *
     * @param plan which processes
     * @param directory where settings and logs go
     * @return the fleet
     */
    public static Fleet start(FleetPlan plan, Path directory) {
        Fleet fleet = startStandIns(plan, directory);
        try {
            fleet.apply(FleetConfiguration.write(fleet.engines(), fleet.services()));
            fleet.startEntries();
            return fleet;
        } catch (RuntimeException e) {
            fleet.close();
            throw e;
        }
    }

    private static String ownClassPath() {
        String ofTests = System.getProperty("surefire.test.class.path");
        return ofTests == null ? System.getProperty("java.class.path") : ofTests;
    }

    private void startUpstreams() {
        LocalProcess platformProcess = startProgram("platform", PLATFORM_CLASS, List.of());
        List<LocalProcess> engineProcesses = new ArrayList<>();
        for (int index = 0; index < plan.engines(); index++) {
            engineProcesses.add(startProgram(nameOf("scribe", index), ENGINE_CLASS, engineArguments(index, 0)));
        }
        List<LocalProcess> serviceProcesses = new ArrayList<>();
        for (int index = 0; index < plan.services(); index++) {
            String name = nameOf("berth", index);
            serviceProcesses.add(startProgram(name, SERVICE_CLASS, List.of("--name", name)));
        }
        platform = new FleetMember("platform", "", platformProcess.awaitPort(), platformProcess);
        addMembers(engines, engineProcesses);
        addMembers(services, serviceProcesses);
    }

    private void addMembers(List<FleetMember> members, List<LocalProcess> started) {
        for (int index = 0; index < started.size(); index++) {
            LocalProcess process = started.get(index);
            members.add(new FleetMember(process.name(), plan.failureDomainOf(index), process.awaitPort(), process));
        }
    }

    private List<String> engineArguments(int index, int port) {
        List<String> arguments = new ArrayList<>(List.of(
                "--name",
                nameOf("scribe", index),
                "--port",
                Integer.toString(port),
                "--start-model",
                FleetConfiguration.START_MODEL));
        arguments.addAll(plan.engineArguments());
        return arguments;
    }

    /** Starts all entry VMs, and the placement processes where planned, and waits until the entry VMs are ready. */
    public void startEntries() {
        List<Integer> peerPorts = new ArrayList<>();
        for (int index = 0; index < plan.entryVms(); index++) {
            peerPorts.add(FreePorts.next());
        }
        for (int index = 0; index < plan.entryVms(); index++) {
            entries.add(startEntry(index, peerPorts));
        }
        if (plan.hasPlacement()) {
            startPlacements(peerPorts);
        }
        publishVms();
        entries.forEach(this::awaitReady);
    }

    /** Enters the entry VMs into the platform's list. */
    private void publishVms() {
        String list = entries.stream()
                .map(entry -> "{\"name\":\"" + entry.name() + "\",\"address\":\"" + FleetMember.ADDRESS + "\",\"port\":"
                        + entry.port() + ",\"failureDomain\":\"" + entry.failureDomain() + "\",\"leaving\":false}")
                .collect(Collectors.joining(","));
        calls.require("PUT", platform.uri("/faults/vms"), "{\"vms\":[" + list + "]}");
    }

    private FleetMember startEntry(int index, List<Integer> peerPorts) {
        String name = nameOf("entry", index);
        String domain = plan.failureDomainOf(index);
        int port = FreePorts.next();
        String settings = vmSettings(name, domain)
                + "[callers]\naddress = \"127.0.0.1\"\nport = " + port + "\n"
                + String.join("\n", plan.callerSettings()) + "\n"
                + peerSettings(peerPorts.get(index), peerPorts)
                + "[shutdown]\n" + String.join("\n", plan.shutdownSettings()) + "\n";
        LocalProcess process = startWithSettings(name, ENTRY_CLASS, settings);
        return new FleetMember(name, domain, port, process);
    }

    private void startPlacements(List<Integer> peerPorts) {
        for (int index = 0; index < plan.failureDomains().size(); index++) {
            String name = nameOf("placement", index);
            String domain = plan.failureDomainOf(index);
            int port = FreePorts.next();
            String settings = vmSettings(name, domain)
                    + "[metrics]\naddress = \"127.0.0.1\"\nport = " + port + "\n"
                    + peerSettings(FreePorts.next(), peerPorts);
            LocalProcess process = startWithSettings(name, PLACEMENT_CLASS, settings);
            placements.add(new FleetMember(name, domain, port, process));
        }
    }

    private static String vmSettings(String name, String domain) {
        return "[vm]\nname = \"" + name + "\"\nfailure_domain = \"" + domain + "\"\n";
    }

    private String peerSettings(int ownPort, List<Integer> peerPorts) {
        List<String> seeds = peerPorts.stream()
                .filter(port -> port != ownPort)
                .map(port -> "\"127.0.0.1:" + port + "\"")
                .toList();
        return "[peers]\naddress = \"127.0.0.1\"\nport = " + ownPort + "\nseeds = [" + String.join(", ", seeds) + "]\n"
                + "[platform]\naddress = \"127.0.0.1\"\nport = " + platform.port() + "\n";
    }

    private LocalProcess startWithSettings(String name, String mainClass, String settings) {
        Path file = write(name + ".toml", settings);
        List<String> arguments = List.of("--settings", file.toString());
        return processes.start(new JavaProgram(name, mainClass, classPath, ENTRY_HEAP_MEBIBYTES, arguments));
    }

    private LocalProcess startProgram(String name, String mainClass, List<String> arguments) {
        return processes.start(JavaProgram.of(name, mainClass, classPath, arguments));
    }

    /**
     * Waits until an entry VM says that it is ready.
     *
     * @param entry the entry VM
     */
    public void awaitReady(FleetMember entry) {
        entry.process()
                .await(
                        "become ready",
                        () -> calls.status(entry.uri("/health/ready")).equals(Optional.of(OK)));
    }

    /**
     * Starts an entry VM that has ended again, with its former settings.
     *
     * @param name its name
     * @return the new member, which is ready
     */
    public FleetMember restartEntry(String name) {
        FleetMember former = entry(name);
        List<String> arguments =
                List.of("--settings", directory.resolve(name + ".toml").toString());
        LocalProcess process =
                processes.start(new JavaProgram(name, ENTRY_CLASS, classPath, ENTRY_HEAP_MEBIBYTES, arguments));
        FleetMember restarted = new FleetMember(name, former.failureDomain(), former.port(), process);
        entries.set(entries.indexOf(former), restarted);
        awaitReady(restarted);
        return restarted;
    }

    /**
     * Starts an engine that has ended again at its former port; it is a new incarnation.
     *
     * @param name its name
     * @return the new member, which answers
     */
    public FleetMember restartEngine(String name) {
        FleetMember former = engine(name);
        int index = engines.indexOf(former);
        LocalProcess process = startProgram(name, ENGINE_CLASS, engineArguments(index, former.port()));
        FleetMember restarted = new FleetMember(name, former.failureDomain(), process.awaitPort(), process);
        engines.set(index, restarted);
        return restarted;
    }

    /**
     * Applies a configuration as an operator.
     *
     * @param configuration TOML
     */
    public void apply(String configuration) {
        Path file = write("configuration.toml", configuration);
        commits().apply(ConfigurationReader.read(List.of(file)), OptionalLong.empty());
    }

    /**
     * Gives a team a key as an operator.
     *
     * @param team the team
     * @return the key, in force at the platform and soon everywhere
     */
    public TeamKey giveKey(String team) {
        TeamKey key = TeamKey.generate(new SecureRandom());
        commits().giveKey(key.record(TeamName.of(team)));
        return key;
    }

    /**
     * Waits until all entry VMs know a key.
     *
     * @param key the key in the clear
     */
    public void awaitKey(String key) {
        for (FleetMember entry : entries) {
            entry.process().await("learn of a key", () -> isKnown(entry, key));
        }
    }

    private boolean isKnown(FleetMember entry, String key) {
        return calls.call("GET", entry.uri("/v1/models"), "", "Authorization", "Bearer " + key)
                        .statusCode()
                == OK;
    }

    /**
     * Withdraws a key as an operator.
     *
     * @param identifier the key's identifier
     */
    public void withdrawKey(String identifier) {
        commits().withdrawKey(identifier);
    }

    private ConfigurationCommit commits() {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), platform.port());
        return new ConfigurationCommit(HttpPlatformService.at(address, PLATFORM_TIMEOUT), Pause.sleeping());
    }

    /**
     * Runs the command line that must succeed.
     *
     * @param arguments its arguments without the platform's address
     * @return what it has printed
     */
    public String requireCommand(String... arguments) {
        CommandResult result = command(arguments);
        if (result.exitCode() != 0) {
            throw ExperimentException.commandFailed(List.of(arguments), result.exitCode(), result.output());
        }
        return result.output();
    }

    /**
     * Runs the command line.
     *
     * @param arguments its arguments without the platform's address
     * @return what came of it
     */
    public CommandResult command(String... arguments) {
        List<String> all = new ArrayList<>(List.of("--platform", FleetMember.ADDRESS + ":" + platform.port()));
        all.addAll(List.of(arguments));
        LocalProcess process = startProgram("command", COMMAND_CLASS, all);
        int exitCode = process.awaitEnd();
        return new CommandResult(exitCode, process.log());
    }

    private Path write(String fileName, String text) {
        try {
            Files.createDirectories(directory);
            return Files.writeString(directory.resolve(fileName), text);
        } catch (IOException e) {
            throw new UncheckedIOException("file " + fileName, e);
        }
    }

    private static String nameOf(String kind, int index) {
        return kind + "-" + (index + 1);
    }

    /**
     * Returns the platform's stand-in.
     *
     * @return the platform
     */
    public FleetMember platform() {
        return platform;
    }

    /**
     * Returns the engines.
     *
     * @return all of them
     */
    public List<FleetMember> engines() {
        return List.copyOf(engines);
    }

    /**
     * Returns the plain services.
     *
     * @return all of them
     */
    public List<FleetMember> services() {
        return List.copyOf(services);
    }

    /**
     * Returns the entry VMs.
     *
     * @return all of them
     */
    public List<FleetMember> entries() {
        return List.copyOf(entries);
    }

    /**
     * Returns the placement processes.
     *
     * @return all of them
     */
    public List<FleetMember> placements() {
        return List.copyOf(placements);
    }

    /**
     * Returns an engine.
     *
     * @param name its name
     * @return the engine
     */
    public FleetMember engine(String name) {
        return named(engines.stream(), name);
    }

    /**
     * Returns an entry VM.
     *
     * @param name its name
     * @return the entry VM
     */
    public FleetMember entry(String name) {
        return named(entries.stream(), name);
    }

    private static FleetMember named(Stream<FleetMember> members, String name) {
        return members.filter(member -> member.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no member of the fleet is named " + name));
    }

    /** Kills all processes. */
    @Override
    public void close() {
        processes.close();
    }
}
