package org.pollenhoist.review;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Some clients send requests with bodies of the size that the configuration allows, while others send small ones. */
final class LargeBodies {

    private static final String CONFIGURATION = """
            {"version":7,"routes":[{"name":"charge","host":"fleet.example","pathPrefix":"/charge/","type":"unsafe",\
            "timeoutMs":2000,"sloMs":386,"priority":2,"service":"app","maxAttempts":1,"public":true},\
            {"name":"upload","host":"fleet.example","pathPrefix":"/upload/","type":"unsafe",\
            "timeoutMs":15000,"sloMs":6000,"priority":2,"service":"app","maxAttempts":1,"public":true}],\
            "services":[{"name":"app","healthPath":"/health","maxConns":370}],\
            "limits":{"maxHeaderBytes":65536,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000},\
            "tenants":[]}""";

    /** The largest body that the configuration allows. */
    private static final int LARGE_BODY_BYTES = 4_194_304;

    private static final int SMALL_BODY_BYTES = 600;
    private static final int UPLOADING_CLIENTS = 36;

    /** A client sends about a megabyte a second, all together a third of what the machine's link carries. */
    private static final int SLICE_BYTES = 65_536;

    private static final long SLICE_MILLISECONDS = 60;

    private static final int SMALL_CLIENTS = 16;
    private static final int TIMEOUT_MILLISECONDS = 2_000;
    private static final int SLACK_MILLISECONDS = 500;
    private static final int TIME_BUDGET_MILLISECONDS = 4_000;
    private static final int OBSERVED_SECONDS = 25;

    private final boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final Record record;
    private final SmallStore store = new SmallStore();
    private final AtomicInteger lastRequest = new AtomicInteger();
    private final AtomicInteger longer = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final Map<String, Integer> outcomes = new TreeMap<>();
    private volatile boolean isOver;
    private SmallFleet fleet;
    private SmallServer server;

    private LargeBodies(Record record) throws IOException {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        int result = 2;
        try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
            LargeBodies test = new LargeBodies(record);
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

    private SmallServer newServer() throws IOException {
        return new SmallServer() {
            @Override
            void answer(Request request, OutputStream response) throws IOException, InterruptedException {
                String identifier = request.header("X-Request-Id");
                record.line("run %s with %d bytes", identifier, request.body().length);
                Thread.sleep(30);
                Map<String, String> headers = Map.of(
                        "X-Request-Id", identifier, "X-Server-Stamp", "stamp-i-1", "X-Instance-Id", "i-1");
                send(response, "200 OK", headers, ("done " + identifier).getBytes());
            }
        };
    }

    private int run(Path temporary) throws Exception {
        server = newServer();
        store.put("op/config", CONFIGURATION);
        store.put("servers/i-1", """
                {"service":"app","address":"127.0.0.1:%d","zone":"piraeus","version":"v1","slots":64,"state":"ready",\
                "coldLeftMs":0,"born":1000,"sequence":1}""".formatted(server.address().getPort()));
        fleet = new SmallFleet(temporary, store.address(), "piraeus");
        if (!fleet.awaitReady()) {
            record.say("the machine did not become ready");
            return 2;
        }
        sleep(4_000);
        for (int number = 0; number < SMALL_CLIENTS; number++) {
            Thread.ofVirtual().start(this::callOften);
        }
        sleep(3_000);
        record.line("%d clients send requests of %d bytes", UPLOADING_CLIENTS, uploadBytes());
        for (int number = 0; number < UPLOADING_CLIENTS; number++) {
            Thread.ofVirtual().start(this::upload);
        }
        int misses = 0;
        for (int second = 0; second < OBSERVED_SECONDS; second++) {
            long askedAt = record.now();
            boolean isReady = fleet.isReady(0);
            misses += isReady ? 0 : 1;
            record.line("process alive %s, ready %s", fleet.process(0).isAlive(), isReady);
            sleep(Math.max(0, askedAt + 1_000 - record.now()));
        }
        isOver = true;
        sleep(TIME_BUDGET_MILLISECONDS + 500);
        record.say(
                "outcomes=%s longer_than_timeout=%d without_answer_half_a_second_later=%d missed_readiness_checks=%d",
                outcomes, longer.get(), unanswered.get(), misses);
        if (!outcomes.containsKey("small 200")) {
            record.say("no request was served");
            return 2;
        }
        return unanswered.get() >= 8 && unanswered.get() > longer.get() / 4 ? 1 : 0;
    }

    private int uploadBytes() {
        return isTrouble ? LARGE_BODY_BYTES : SMALL_BODY_BYTES;
    }

    private void count(String outcome) {
        synchronized (outcomes) {
            outcomes.merge(outcome, 1, Integer::sum);
        }
    }

    private void callOften() {
        while (!isOver) {
            try (SmallClient client = new SmallClient(fleet.callers(0), TIME_BUDGET_MILLISECONDS)) {
                boolean isKept = true;
                while (isKept && !isOver) {
                    isKept = call(client);
                    sleep(100);
                }
            } catch (IOException refused) {
                record.line("no channel: %s", refused);
                sleep(100);
            }
        }
    }

    /** Sends a small request and waits for its answer as long as its time budget lasts. */
    private boolean call(SmallClient client) {
        String identifier = "r" + lastRequest.incrementAndGet();
        Map<String, String> headers =
                Map.of("X-Request-Id", identifier, "X-Deadline-Ms", String.valueOf(TIME_BUDGET_MILLISECONDS));
        long sentAt = record.now();
        boolean isKept = false;
        String outcome;
        try {
            record.line("send %s", identifier);
            client.send("POST", "/charge/x", headers, new byte[SMALL_BODY_BYTES]);
            SmallClient.Head head = client.readHead();
            client.readBody(head);
            isKept = head.isKept();
            outcome = String.valueOf(head.status());
        } catch (IOException broken) {
            outcome = broken instanceof java.net.SocketTimeoutException ? "unanswered" : "broken";
        }
        long after = record.now() - sentAt;
        record.line("answer %s %s after %d ms", identifier, outcome, after);
        count("small " + outcome);
        longer.addAndGet(after > TIMEOUT_MILLISECONDS ? 1 : 0);
        unanswered.addAndGet(after > TIMEOUT_MILLISECONDS + SLACK_MILLISECONDS ? 1 : 0);
        return isKept;
    }

    private void upload() {
        String identifier = "u" + lastRequest.incrementAndGet();
        byte[] body = new byte[uploadBytes()];
        Arrays.fill(body, (byte) 'x');
        try (SmallClient client = new SmallClient(fleet.callers(0), 15_000)) {
            OutputStream output = client.socket().getOutputStream();
            Map<String, String> headers = Map.of("X-Request-Id", identifier, "X-Deadline-Ms", "15000");
            output.write(SmallClient.head("POST", "/upload/x", headers, body.length));
            for (int sent = 0; sent < body.length; sent += SLICE_BYTES) {
                output.write(body, sent, Math.min(SLICE_BYTES, body.length - sent));
                sleep(SLICE_MILLISECONDS);
            }
            record.line("sent %s whole", identifier);
            SmallClient.Head head = client.readHead();
            client.readBody(head);
            record.line("answer %s %d", identifier, head.status());
            count("upload " + head.status());
        } catch (IOException broken) {
            record.line("channel of %s broken: %s", identifier, broken);
            count("upload broken");
        }
    }

    private void close() {
        isOver = true;
        if (fleet != null) {
            fleet.close();
        }
        if (server != null) {
            server.close();
        }
        store.close();
    }
}
