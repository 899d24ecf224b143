package org.pollenhoist.review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** A replica leaves; then the store comes back from a copy in which it still serves. */
final class LeavingAfterDrill {

    private static final String CONFIGURATION = """
            {"version":7,"routes":[{"name":"chat","host":"fleet.example","pathPrefix":"/chat/","type":"streaming",\
            "timeoutMs":15000,"sloMs":800,"priority":0,"service":"app","maxAttempts":1,"public":true,\
            "resumable":false,"gapTargetMs":400}],"services":[{"name":"app","healthPath":"/health","maxConns":370}],\
            "limits":{"maxHeaderBytes":65536,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000},\
            "tenants":[]}""";
    private static final long HEARTBEAT_MILLISECONDS = 1_200;
    private static final long DRAIN_MILLISECONDS = 2_000;
    private static final int CLIENTS = 200;

    private final boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final Record record;
    private final SmallStore store = new SmallStore();
    private final List<LeavingServer> servers = new ArrayList<>();
    private final AtomicInteger lastRequest = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();

    /** The first time at which a client had an answer with {@code Server-Leaving} from a machine. */
    private final Map<String, Long> toldAt = new ConcurrentHashMap<>();

    /** The machine and the time of each request that a client sent. */
    private final Map<String, LeavingServer.Arrival> sent = new ConcurrentHashMap<>();

    private volatile boolean isAway;
    private volatile boolean hasLeft;
    private volatile boolean isOver;
    private SmallFleet fleet;

    private LeavingAfterDrill(Record record) throws IOException {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        int result = 2;
        try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
            LeavingAfterDrill test = new LeavingAfterDrill(record);
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

    private void add(String identifier) throws IOException {
        LeavingServer server = new LeavingServer(identifier, record);
        boolean isLeaver = servers.isEmpty();
        servers.add(server);
        Thread.ofVirtual().start(() -> {
            while (!isOver && !(isLeaver && hasLeft)) {
                if (!isAway) {
                    server.beat(store);
                }
                sleep(HEARTBEAT_MILLISECONDS);
            }
        });
    }

    private int run(Path temporary) throws Exception {
        store.put("op/config", CONFIGURATION);
        for (int number = 1; number <= 4; number++) {
            add("i-" + number);
        }
        fleet = new SmallFleet(temporary, store.address(), "piraeus", "lavrio", "rafina");
        if (!fleet.awaitReady()) {
            record.say("the machines did not become ready");
            return 2;
        }
        sleep(5_000);
        for (int number = 0; number < CLIENTS; number++) {
            int machine = number % fleet.size();
            Thread.ofVirtual().start(() -> client(machine));
            sleep(15);
        }
        sleep(3_000);
        SmallStore.Copy copy = store.copy();
        record.line("copy made");
        sleep(500);
        LeavingServer leaver = servers.get(0);
        leaver.leave();
        record.line("%s leaves: its answers say so", leaver.identifier());
        sleep(1_000);
        hasLeft = true;
        store.remove("servers/" + leaver.identifier());
        record.line("the entry of %s is removed; it goes on serving for a while", leaver.identifier());
        sleep(3_200);
        if (isTrouble) {
            isAway = true;
            store.goAway();
            record.line("store away");
            sleep(400);
            store.comeBackFrom(copy);
            isAway = false;
            record.line("store back from the copy");
        } else {
            sleep(400);
        }
        sleep(HEARTBEAT_MILLISECONDS);
        store.remove("servers/" + leaver.identifier());
        record.line("the removal of the entry of %s is written again", leaver.identifier());
        sleep(400);
        leaver.close();
        record.line("%s exits", leaver.identifier());
        sleep(1_000);
        isOver = true;
        sleep(6_000);
        return judge(leaver);
    }

    private int judge(LeavingServer leaver) {
        int late = 0;
        for (LeavingServer.Arrival arrival : leaver.arrivals()) {
            LeavingServer.Arrival request = sent.get(arrival.identifier());
            Long told = toldAt.get(request.machine());
            if (told != null && request.at() > told + DRAIN_MILLISECONDS) {
                late++;
                record.line(
                        "DRAIN: %s, sent at %d to %s, which had passed on Server-Leaving of %s at %d, reached it",
                        arrival.identifier(), request.at(), request.machine(), leaver.identifier(), told);
            }
        }
        record.say(
                "served=%d refused=%d lost=%d machines_told=%d late_at_leaving_replica=%d",
                served.get(), refused.get(), lost.get(), toldAt.size(), late);
        if (toldAt.isEmpty() || served.get() < 100) {
            record.say("no machine passed on an answer with Server-Leaving, or too few requests were served");
            return 2;
        }
        return late > 0 ? 1 : 0;
    }

    private void client(int machine) {
        while (!isOver) {
            String identifier = "r" + lastRequest.incrementAndGet();
            String name = fleet.name(machine);
            sent.put(identifier, new LeavingServer.Arrival(identifier, name, record.now()));
            record.line("send %s to %s", identifier, name);
            try (SmallClient client = new SmallClient(fleet.callers(machine), 4_000)) {
                client.send(
                        "POST",
                        "/chat/x",
                        Map.of("X-Request-Id", identifier, "X-Deadline-Ms", "15000"),
                        "a question".getBytes());
                SmallClient.Head head = client.readHead();
                boolean isLeaving = "1".equals(head.headers().get("Server-Leaving"));
                record.line("answer %s status %d%s", identifier, head.status(), isLeaving ? " Server-Leaving" : "");
                if (isLeaving) {
                    toldAt.putIfAbsent(name, record.now());
                }
                client.readBody(head);
                record.line("answer %s whole", identifier);
                (head.status() == 200 ? served : head.status() == 503 ? refused : lost).incrementAndGet();
            } catch (IOException broken) {
                record.line("channel of %s broken: %s", identifier, broken);
                lost.incrementAndGet();
            }
            sleep(ThreadLocalRandom.current().nextInt(5, 400));
        }
    }

    private void close() {
        isOver = true;
        if (fleet != null) {
            fleet.close();
        }
        servers.forEach(LeavingServer::close);
        store.close();
    }
}
