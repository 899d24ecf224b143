import java.io.IOException;
import java.net.DatagramSocket;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Starts the processes of a small deployment with the command of the deploy file and rendered settings. */
final class MachineFleet implements AutoCloseable {

    static final ThreadFactory DAEMON = task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    };

    /** A machine that carries traffic. */
    final class Machine {
        final String name;
        final String zone;
        final int callers = freePort();
        final int ready = freePort();
        final int peers = freePort();
        final int metrics = freePort();
        private final String store;
        private Process process;

        private Machine(String name, String zone, String store) {
            this.name = name;
            this.zone = zone;
            this.store = store;
        }

        long pid() {
            return process.pid();
        }

        boolean isAlive() {
            return process.isAlive();
        }

        void start(boolean isFirst) throws IOException {
            Path settings = folder.resolve(name + ".toml");
            Files.writeString(settings, settings(this, isFirst));
            ProcessBuilder builder = new ProcessBuilder(command());
            builder.directory(root.toFile());
            Map<String, String> before = Map.copyOf(builder.environment());
            builder.environment().clear();
            for (String kept : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
                if (before.containsKey(kept)) {
                    builder.environment().put(kept, before.get(kept));
                }
            }
            builder.environment().put("POLLENHOIST_SETTINGS", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = builder.start();
            record.note("machine %s started, process %d", name, process.pid());
        }

        void signal(String signal) throws IOException, InterruptedException {
            record.note("signal %s to machine %s", signal, name);
            new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
        }

        boolean awaitEnd(long milliseconds) throws InterruptedException {
            return process.waitFor(milliseconds, TimeUnit.MILLISECONDS);
        }

        int exitValue() {
            return process.exitValue();
        }

        boolean isReady() {
            try {
                HttpURLConnection connection = (HttpURLConnection)
                        URI.create("http://127.0.0.1:" + ready + "/api/ready").toURL().openConnection();
                connection.setConnectTimeout(500);
                connection.setReadTimeout(500);
                return connection.getResponseCode() == 200;
            } catch (IOException notYet) {
                return false;
            }
        }
    }

    private final Path root;
    private final Path folder;
    private final Recorder record;
    private final List<Machine> machines = new ArrayList<>();

    MachineFleet(Path root, Path folder, Recorder record) {
        this.root = root;
        this.folder = folder;
        this.record = record;
        // Also if this program is ended from outside, none of the processes that it started stays.
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    Machine add(String name, String zone, String store) {
        Machine machine = new Machine(name, zone, store);
        machines.add(machine);
        return machine;
    }

    /** Returns a port that is free for TCP and UDP, below the range from which the system takes ports of callers. */
    static int freePort() {
        for (int attempt = 0; attempt < 1_000; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"));
                    DatagramSocket datagrams = new DatagramSocket(port, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (IOException taken) {
                // another process has it
            }
        }
        throw new IllegalStateException("no free port");
    }

    private List<String> command() throws IOException {
        try (Stream<String> lines = Files.lines(root.resolve("deploy/system.toml"))) {
            String run = lines.filter(line -> line.startsWith("run"))
                    .findFirst()
                    .orElseThrow()
                    .replaceAll("^run *= *\"", "")
                    .replaceAll("\"\\s*$", "");
            return List.of(run.trim().split(" +"));
        }
    }

    /** Fills in the template with the figures of sites/thalassa-ops.toml; every machine has its own ports here. */
    private String settings(Machine machine, boolean isFirst) throws IOException {
        Map<String, String> values = Map.ofEntries(
                Map.entry("nodeName", machine.name),
                Map.entry("zone", machine.zone),
                Map.entry("isBootstrap", String.valueOf(isFirst)),
                Map.entry("listen.frontend", "127.0.0.1:" + machine.callers),
                Map.entry("listen.ready", "127.0.0.1:" + machine.ready),
                Map.entry("ip", "127.0.0.1"),
                Map.entry("portRange.0", String.valueOf(machine.peers)),
                Map.entry("platform.address", machine.store),
                Map.entry("bounds.graceS", "8"),
                Map.entry("bounds.budgetRatio", "0.2"),
                Map.entry("bounds.budgetWindowS", "10"),
                Map.entry("bounds.budgetExtra", "56"),
                Map.entry("bounds.configApplyMs", "2000"),
                Map.entry("bounds.drainMs", "2000"),
                Map.entry("heartbeatMs", "1200"),
                Map.entry("bounds.leaseMs", "3000"));
        String template = Files.readString(root.resolve("platform/settings.template.toml"))
                .replace("{{ip}}:9464", "127.0.0.1:" + machine.metrics);
        Matcher matcher = Pattern.compile("\\{\\{([^}]+)}}").matcher(template);
        return matcher.replaceAll(found -> {
            String value = values.get(found.group(1));
            if (value == null) {
                throw new IllegalStateException("no value for " + found.group(1));
            }
            return Matcher.quoteReplacement(value);
        });
    }

    /** Waits until all machines are ready; returns false if one isn't in time. */
    boolean awaitReady(long milliseconds) throws InterruptedException {
        long end = System.nanoTime() + milliseconds * 1_000_000;
        while (System.nanoTime() < end) {
            if (machines.stream().allMatch(Machine::isReady)) {
                record.note("all machines are ready");
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    /** Ends the processes that it started. */
    @Override
    public void close() {
        for (Machine machine : machines) {
            if (machine.process != null) {
                machine.process.destroyForcibly();
            }
        }
        for (Machine machine : machines) {
            if (machine.process != null) {
                machine.process.onExit().join();
            }
        }
    }
}
