package org.pollenhoist.review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Two software versions serve side by side when all machines lose power for a moment. */
final class StreamsAfterPowerLoss {

    private static final String CONFIGURATION = """
            {"version":7,"routes":[{"name":"notes","host":"fleet.example","pathPrefix":"/notes/","type":"streaming",\
            "timeoutMs":15000,"sloMs":1200,"priority":1,"service":"app","maxAttempts":2,"public":true,\
            "resumable":true,"gapTargetMs":400}],"services":[{"name":"app","healthPath":"/health","maxConns":370}],\
            "limits":{"maxHeaderBytes":65536,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000},\
            "tenants":[]}""";
    private static final int STREAMS = 40;
    private static final int MINIMUM_STREAMS = 12;
    private static final long HEARTBEAT_MILLISECONDS = 1_200;
    private static final long TIME_BUDGET_MILLISECONDS = 15_000;

    /** Four times the objective: the pause after which a client abandons a stream. */
    private static final int PAUSE_MILLISECONDS = 4_800;

    private static final long STABLE_MILLISECONDS = 3_000;
    private static final long POWER_LOSS_MILLISECONDS = 600;

    private final boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final Record record;
    private final SmallStore store = new SmallStore();
    private final List<StreamServer> servers = new ArrayList<>();
    private final List<Balancer> balancers = new ArrayList<>();
    private final AtomicInteger lastStream = new AtomicInteger();
    private final AtomicInteger takenUp = new AtomicInteger();
    private final AtomicInteger wentOn = new AtomicInteger();
    private final AtomicInteger newStreams = new AtomicInteger();
    private final AtomicInteger newBegun = new AtomicInteger();
    private volatile long startedAt = Long.MAX_VALUE / 2;
    private volatile boolean isOver;
    private SmallFleet fleet;

    private StreamsAfterPowerLoss(Record record) throws IOException {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        int result = 2;
        try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
            StreamsAfterPowerLoss test = new StreamsAfterPowerLoss(record);
            try {
                result = test.run(Path.of(arguments[1]));
            } finally {
                test.close();
            }
        }
        System.exit(result);
    }

    private static void sleep(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void add(String version) throws IOException {
        for (int number = 1; number <= 3; number++) {
            StreamServer server = new StreamServer("i-" + version + "-" + number, version, record);
            servers.add(server);
            Thread.ofVirtual().start(() -> {
                while (!isOver) {
                    server.beat(store);
                    sleep(HEARTBEAT_MILLISECONDS);
                }
            });
            sleep(50);
        }
    }

    private int run(Path temporary) throws Exception {
        store.put("op/config", CONFIGURATION);
        add("v1");
        add("v2");
        fleet = new SmallFleet(temporary, store.address(), "piraeus", "lavrio", "rafina");
        if (!fleet.awaitReady()) {
            record.say("the machines did not become ready");
            return 2;
        }
        for (int number = 0; number < fleet.size(); number++) {
            balancers.add(new Balancer(fleet.callers(number)));
        }
        sleep(7_000);
        for (int number = 0; number < STREAMS; number++) {
            Thread.ofVirtual().start(this::follow);
            sleep(20);
        }
        sleep(1_200);
        if (isTrouble) {
            losePower();
        }
        startedAt = record.now();
        for (int number = 0; number < 8; number++) {
            Thread.ofVirtual().start(this::beginOthers);
        }
        sleep(9_000);
        isOver = true;
        sleep(2_000);
        record.say(
                "taken_up_again=%d went_on=%d new_streams=%d begun=%d",
                takenUp.get(), wentOn.get(), newStreams.get(), newBegun.get());
        if (newStreams.get() < MINIMUM_STREAMS || takenUp.get() < MINIMUM_STREAMS) {
            record.say("too few streams at machines in touch");
            return 2;
        }
        double shareOfNew = newBegun.get() / (double) newStreams.get();
        double shareOfTakenUp = wentOn.get() / (double) takenUp.get();
        return shareOfTakenUp < shareOfNew / 2 ? 1 : 0;
    }

    private void losePower() throws IOException, InterruptedException {
        record.line("all machines lose power");
        balancers.forEach(Balancer::silence);
        for (int number = 0; number < fleet.size(); number++) {
            fleet.process(number).destroyForcibly();
        }
        sleep(POWER_LOSS_MILLISECONDS);
        for (int number = 0; number < fleet.size(); number++) {
            fleet.process(number).waitFor();
            fleet.restart(number);
        }
        record.line("all machines start again");
    }

    private boolean isInTouch() {
        return record.now() >= startedAt + STABLE_MILLISECONDS;
    }

    private static int random(int below) {
        return ThreadLocalRandom.current().nextInt(below);
    }

    /** Follows a long stream, and takes it up again if its channel is silent for too long or lost. */
    private void follow() {
        String identifier = "s" + lastStream.incrementAndGet();
        long end = record.now() + TIME_BUDGET_MILLISECONDS;
        Map<Integer, String> events = new TreeMap<>();
        receive(identifier, identifier, end, events, isTrouble ? StreamServer.LONG_EVENTS : 60);
        if (events.isEmpty() || events.size() == StreamServer.LONG_EVENTS) {
            return;
        }
        boolean isCounted = isInTouch();
        record.line("%s is taken up again after event %d", identifier, events.size());
        int before = events.size();
        double wait = receive(identifier + "-1", identifier, end, events, StreamServer.LONG_EVENTS);
        if (events.size() == before && wait > 0) {
            sleep((long) (wait * 1_000));
            receive(identifier + "-2", identifier, end, events, StreamServer.LONG_EVENTS);
        }
        record.line("%s has %d events", identifier, events.size());
        if (isCounted) {
            takenUp.incrementAndGet();
            wentOn.addAndGet(events.size() > before ? 1 : 0);
        }
    }

    /** Begins other streams at machines in touch. */
    private void beginOthers() {
        while (!isOver) {
            sleep(200);
            if (isInTouch()) {
                String identifier = "n" + lastStream.incrementAndGet();
                Map<Integer, String> events = new TreeMap<>();
                receive(identifier, identifier, record.now() + 5_000, events, 3);
                newStreams.incrementAndGet();
                newBegun.addAndGet(events.isEmpty() ? 0 : 1);
            }
        }
    }

    /** Reads a stream until it has a number of events; returns the time after which to come back, 0 if none is named. */
    private double receive(String identifier, String first, long end, Map<Integer, String> events, int until) {
        Map<String, String> headers = new TreeMap<>();
        headers.put("X-Request-Id", identifier);
        headers.put("X-Deadline-Ms", String.valueOf(end - record.now()));
        if (!events.isEmpty()) {
            headers.put("Last-Event-Id", String.valueOf(events.size()));
            headers.put("Resumes", first);
        }
        int machine = random(balancers.size());
        record.line("send %s to %s after event %d", identifier, fleet.name(machine), events.size());
        try (SmallClient client = new SmallClient(balancers.get(machine).address(), PAUSE_MILLISECONDS)) {
            client.send("POST", "/notes/" + StreamServer.LONG, headers, ("notes " + first).getBytes());
            SmallClient.Head head = client.readHead();
            if (head.status() != 200) {
                String wait = head.headers().getOrDefault("Retry-After", "0");
                record.line("answer %s status %d retry after %s", identifier, head.status(), wait);
                return Double.parseDouble(wait);
            }
            StringBuilder text = new StringBuilder();
            String chunk = client.readChunk();
            while (!chunk.isEmpty()) {
                text.append(chunk);
                VersionsAfterDrill.take(text, events);
                if (events.size() >= until) {
                    return 0;
                }
                chunk = client.readChunk();
            }
        } catch (IOException broken) {
            record.line("channel of %s: %s", identifier, broken);
        }
        return 0;
    }

    private void close() throws IOException {
        isOver = true;
        if (fleet != null) {
            fleet.close();
        }
        for (Balancer balancer : balancers) {
            balancer.close();
        }
        servers.forEach(StreamServer::close);
        store.close();
    }
}
