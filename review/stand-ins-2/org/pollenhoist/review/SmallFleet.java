package org.pollenhoist.review;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Serving processes, started with the command of the deploy file and settings made from its template. */
final class SmallFleet implements AutoCloseable {

    private record Machine(
            String name,
            String zone,
            InetSocketAddress callers,
            InetSocketAddress readiness,
            InetSocketAddress peers,
            InetSocketAddress metrics,
            InetSocketAddress store) {}

    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final int FIRST_PORT = 12_000;
    private static final int PORTS = 18_000;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);

    private final Path folder;
    private final List<Machine> machines = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private final HttpClient client = HttpClient.newHttpClient();
    private int lastPort = FIRST_PORT + (int) (ProcessHandle.current().pid() * 97 % PORTS);

    SmallFleet(Path folder, InetSocketAddress store, String... zones) throws IOException {
        this(folder, Collections.nCopies(zones.length, store), zones);
    }

    /** Starts a machine for each address at which one finds the store. */
    SmallFleet(Path folder, List<InetSocketAddress> stores, String... zones) throws IOException {
        this.folder = folder;
        for (String zone : zones) {
            Machine machine = new Machine(
                    "frontend-" + zone + "-" + (machines.size() + 1),
                    zone,
                    freeAddress(),
                    freeAddress(),
                    freeAddress(),
                    freeAddress(),
                    stores.get(machines.size()));
            machines.add(machine);
            processes.add(launch(machine, true));
        }
    }

    private InetSocketAddress freeAddress() throws IOException {
        while (true) {
            lastPort = lastPort >= FIRST_PORT + PORTS ? FIRST_PORT : lastPort + 1;
            try (ServerSocket socket = new ServerSocket(lastPort, 1, InetAddress.getLoopbackAddress())) {
                return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
            } catch (BindException used) {
                // Tries the next port.
            }
        }
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private Process launch(Machine machine, boolean isFirstStart) throws IOException {
        String settings = Files.readString(Path.of("platform/settings.template.toml"))
                .replace("{{nodeName}}", machine.name())
                .replace("{{zone}}", machine.zone())
                .replace("{{isBootstrap}}", String.valueOf(isFirstStart))
                .replace("{{listen.frontend}}", text(machine.callers()))
                .replace("{{listen.ready}}", text(machine.readiness()))
                .replace("{{ip}}:{{portRange.0}}", text(machine.peers()))
                .replace("{{ip}}:9464", text(machine.metrics()))
                .replace("{{platform.address}}", text(machine.store()))
                .replace("{{bounds.graceS}}", "8")
                .replace("{{bounds.budgetRatio}}", "0.2")
                .replace("{{bounds.budgetWindowS}}", "10")
                .replace("{{bounds.budgetExtra}}", "56")
                .replace("{{bounds.configApplyMs}}", "2000")
                .replace("{{bounds.drainMs}}", "2000")
                .replace("{{heartbeatMs}}", "1200")
                .replace("{{bounds.leaseMs}}", "3000");
        Path file = folder.resolve(machine.name() + ".toml");
        Files.writeString(file, settings);
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml names no command");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.environment().put("POLLENHOIST_SETTINGS", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                folder.resolve(machine.name() + ".log").toFile()));
        return builder.start();
    }

    int size() {
        return machines.size();
    }

    String name(int number) {
        return machines.get(number).name();
    }

    InetSocketAddress callers(int number) {
        return machines.get(number).callers();
    }

    Process process(int number) {
        return processes.get(number);
    }

    InetSocketAddress peers(int number) {
        return machines.get(number).peers();
    }

    /** Starts a machine's process again after it has ended, as the platform does. */
    void restart(int number) throws IOException {
        processes.set(number, launch(machines.get(number), false));
    }

    /** Returns the lines of a machine's log that contain a text. */
    List<String> logged(int number, String text) throws IOException {
        try (var lines = Files.lines(folder.resolve(name(number) + ".log"))) {
            return lines.filter(line -> line.contains(text)).toList();
        }
    }

    /** Waits until all machines say that they are ready; returns false if one doesn't in time. */
    boolean awaitReady() throws InterruptedException {
        long deadline = System.nanoTime() + START_TIMEOUT.toNanos();
        for (int number = 0; number < machines.size(); number++) {
            while (!isReady(number)) {
                if (System.nanoTime() > deadline || !processes.get(number).isAlive()) {
                    return false;
                }
                Thread.sleep(50);
            }
        }
        return true;
    }

    /** Asks a machine as the platform does: no answer within a second is a miss. */
    boolean isReady(int number) throws InterruptedException {
        URI uri = URI.create("http://" + text(machines.get(number).readiness()) + "/api/ready");
        HttpRequest request =
                HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(1)).build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException noAnswer) {
            return false;
        }
    }

    @Override
    public void close() {
        processes.forEach(Process::destroyForcibly);
        for (Process process : processes) {
            try {
                process.waitFor(10, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
