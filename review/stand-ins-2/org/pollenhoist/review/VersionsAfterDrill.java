package org.pollenhoist.review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two software versions serve side by side, and clients take streams up again at other machines, when the store comes
 * back from a copy that was made before the second version came.
 */
final class VersionsAfterDrill {

    private static final String CONFIGURATION = """
            {"version":7,"routes":[{"name":"notes","host":"fleet.example","pathPrefix":"/notes/","type":"streaming",\
            "timeoutMs":15000,"sloMs":800,"priority":1,"service":"app","maxAttempts":2,"public":true,\
            "resumable":true,"gapTargetMs":400}],"services":[{"name":"app","healthPath":"/health","maxConns":370}],\
            "limits":{"maxHeaderBytes":65536,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000},\
            "tenants":[]}""";
    private static final int CLIENTS = 600;
    private static final int MAXIMUM_JOINED = 2;
    private static final long HEARTBEAT_MILLISECONDS = 1_200;

    private final boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final Record record;
    private final SmallStore store = new SmallStore();
    private final List<StreamServer> servers = new ArrayList<>();
    private final AtomicInteger lastStream = new AtomicInteger();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger resumed = new AtomicInteger();
    private final ConcurrentLinkedQueue<String> joined = new ConcurrentLinkedQueue<>();
    private volatile boolean isAway;
    private volatile boolean isOver;
    private SmallFleet fleet;

    private VersionsAfterDrill(Record record) throws IOException {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        Path temporary = Path.of(arguments[1]);
        int result = 2;
        try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
            VersionsAfterDrill test = new VersionsAfterDrill(record);
            try {
                result = test.run(temporary);
            } finally {
                test.close();
            }
        }
        System.exit(result);
    }

    private void add(String version, int count) throws IOException {
        for (int number = 1; number <= count; number++) {
            StreamServer server = new StreamServer("i-" + version + "-" + number, version, record);
            servers.add(server);
            Thread.ofVirtual().start(() -> {
                while (!isOver) {
                    if (!isAway) {
                        server.beat(store);
                    }
                    sleep(HEARTBEAT_MILLISECONDS);
                }
            });
            sleep(100);
        }
    }

    private static void sleep(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private int run(Path temporary) throws Exception {
        store.put("op/config", CONFIGURATION);
        fleet = new SmallFleet(
                temporary, store.address(), "piraeus", "piraeus", "piraeus", "lavrio", "lavrio", "lavrio", "rafina",
                "rafina");
        add("v1", 2);
        if (!fleet.awaitReady()) {
            record.say("the machines did not become ready");
            return 2;
        }
        sleep(6_000);
        SmallStore.Copy copy = store.copy();
        record.line("copy made, versions of app: %s", listing());
        sleep(200);
        add("v2", 6);
        record.line("the replicas of v2 have registered");
        sleep(4_000);
        record.line("versions of app before the drill: %s", listing());
        for (int number = 0; number < CLIENTS; number++) {
            Thread.ofVirtual().start(this::client);
            sleep(1);
        }
        if (isTrouble) {
            isAway = true;
            store.goAway();
            record.line("store away");
            sleep(500);
            store.comeBackFrom(copy);
            store.put("op/config", CONFIGURATION);
            isAway = false;
            record.line("store back from the copy, versions of app: %s", listing());
        } else {
            sleep(500);
        }
        sleep(6_000);
        isOver = true;
        sleep(5_000);
        record.line("versions of app at the end: %s", listing());
        joined.forEach(stream -> record.line("joined: %s", stream));
        record.say(
                "streams=%d taken_up_again=%d whole=%d joined=%d allowed=%d",
                lastStream.get(), resumed.get(), whole.get(), joined.size(), MAXIMUM_JOINED);
        if (whole.get() < CLIENTS) {
            record.say("too few streams were served");
            return 2;
        }
        return joined.size() > MAXIMUM_JOINED ? 1 : 0;
    }

    private String listing() {
        return store.text("pollenhoist/versions/app").replaceAll("[^ -~]+", " ");
    }

    /** Begins a stream at a machine, loses its channel, and takes the stream up again at another machine. */
    private void client() {
        while (!isOver) {
            ThreadLocalRandom random = ThreadLocalRandom.current();
            String identifier = "s" + lastStream.incrementAndGet();
            Map<Integer, String> events = new TreeMap<>();
            int machine = random.nextInt(fleet.size());
            int broken = random.nextInt(5, 16);
            boolean isEnded = receive(identifier, identifier, machine, broken, events);
            for (int attempt = 1; attempt <= 3 && !isEnded && !events.isEmpty(); attempt++) {
                resumed.incrementAndGet();
                machine = (machine + random.nextInt(1, fleet.size())) % fleet.size();
                isEnded = receive(identifier + "-" + attempt, identifier, machine, Integer.MAX_VALUE, events);
            }
            Set<String> versions = new TreeSet<>(events.values());
            if (versions.size() > 1) {
                joined.add(identifier + " " + events);
            }
            if (isEnded && events.size() == StreamServer.EVENTS) {
                whole.incrementAndGet();
            } else {
                sleep(300);
            }
        }
    }

    /** Reads a stream until it has a number of events; returns whether it has ended. */
    private boolean receive(String identifier, String first, int machine, int until, Map<Integer, String> events) {
        Map<String, String> headers = new TreeMap<>(Map.of("X-Request-Id", identifier, "X-Deadline-Ms", "15000"));
        if (!events.isEmpty()) {
            headers.put("Last-Event-Id", String.valueOf(events.size()));
            headers.put("Resumes", first);
        }
        record.line("send %s to %s after event %d", identifier, fleet.name(machine), events.size());
        try (SmallClient client = new SmallClient(fleet.callers(machine), 5_000)) {
            client.send("POST", "/notes/x", headers, "a brief, please".getBytes());
            SmallClient.Head head = client.readHead();
            if (head.status() != 200) {
                record.line("answer %s status %d retry after %s", identifier, head.status(), retryAfter(head));
                sleep((long) (retryAfter(head) * 1_000));
                return false;
            }
            StringBuilder text = new StringBuilder();
            while (events.size() < until) {
                String chunk = client.readChunk();
                if (chunk.isEmpty()) {
                    record.line("answer %s complete", identifier);
                    return true;
                }
                text.append(chunk);
                take(text, events);
            }
            record.line("channel of %s lost after event %d", identifier, events.size());
        } catch (IOException | RuntimeException broken) {
            record.line("channel of %s broken: %s", identifier, broken);
        }
        return false;
    }

    private static double retryAfter(SmallClient.Head head) {
        return Double.parseDouble(head.headers().getOrDefault("Retry-After", "0.3"));
    }

    static void take(StringBuilder text, Map<Integer, String> events) {
        for (int end = text.indexOf("\n\n"); end >= 0; end = text.indexOf("\n\n")) {
            String[] lines = text.substring(0, end).split("\n");
            events.put(Integer.parseInt(lines[0].substring(4)), lines[1].substring(6));
            text.delete(0, end + 2);
        }
    }

    private void close() {
        isOver = true;
        if (fleet != null) {
            fleet.close();
        }
        servers.forEach(StreamServer::close);
        store.close();
    }
}
