package org.pollenhoist.review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

/** A replica that holds models, loads and unloads them as ordered, and crashes if it is to hold more than it can. */
final class EngineServer extends SmallServer {

    static final int WEIGHTS_MB = 220_000;
    static final int MODEL_MB = 65_100;
    static final long LOAD_MILLISECONDS = 1_500;

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long REPORT_LAG_MILLISECONDS = 200;
    private static final long FIRST_EVENT_MILLISECONDS = 60;
    private static final long INTERVAL_MILLISECONDS = 40;
    private static final int TOKENS_PER_EVENT = 10;

    private record Report(long at, String text) {}

    private final String identifier;
    private final String zone;
    private final Record record;
    private final long born = System.currentTimeMillis();
    private final Set<String> held = new TreeSet<>();
    private final Map<String, AtomicInteger> running = new TreeMap<>();
    private final Deque<Report> reports = new ArrayDeque<>();
    private Optional<String> order = Optional.empty();
    private long sequence;
    private volatile boolean isOverloaded;

    EngineServer(String identifier, String zone, Set<String> models, Record record) throws IOException {
        this.identifier = identifier;
        this.zone = zone;
        this.record = record;
        held.addAll(models);
        remember();
    }

    String identifier() {
        return identifier;
    }

    synchronized Set<String> held() {
        return new TreeSet<>(held);
    }

    /** Returns whether the replica was ordered to load more than it holds. */
    boolean isOverloaded() {
        return isOverloaded;
    }

    private String models() {
        return held.stream()
                .map(model -> "{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}")
                .collect(Collectors.joining(",", "[", "]"));
    }

    /** Writes the replica's entry, as it does once each heartbeat. */
    synchronized void beat(SmallStore store) {
        if (!isOverloaded) {
            store.put("servers/" + identifier, """
                    {"service":"llm","address":"127.0.0.1:%d","zone":"%s","version":"v1","slots":64,"state":"ready",\
                    "coldLeftMs":0,"born":%d,"phase":"both","models":%s,"sequence":%d}""".formatted(
                            address().getPort(), zone, born, models(), sequence));
        }
    }

    private void remember() {
        reports.addLast(new Report(System.nanoTime() / 1_000_000, """
                {"phase":"both","models":%s,"occupied":%s,"sequence":%d,"queued":0,"active":0,"kvInUse":0,\
                "kvSize":131777,"handles":0}""".formatted(models(), order.isPresent(), sequence)));
        while (reports.size() > 100) {
            reports.removeFirst();
        }
    }

    private synchronized String report() {
        long asOf = System.nanoTime() / 1_000_000 - REPORT_LAG_MILLISECONDS;
        String found = reports.getFirst().text();
        for (Report report : reports) {
            found = report.at() <= asOf ? report.text() : found;
        }
        return found;
    }

    @Override
    void answer(Request request, OutputStream response) throws IOException, InterruptedException {
        if (isOverloaded) {
            throw new IOException("crashed");
        }
        if (!request.header("X-Expect-Instance").equals(identifier)) {
            send(response, "421 Misdirected Request", Map.of("X-Instance-Id", identifier), new byte[0]);
        } else if (request.path().equals("/api/report")) {
            send(response, "200 OK", Map.of("Content-Type", "application/json"), report().getBytes());
        } else if (request.path().equals("/api/order")) {
            send(response, order(MAPPER.readTree(request.body())), Map.of(), new byte[0]);
        } else {
            run(request, response);
        }
    }

    private synchronized String order(JsonNode body) {
        String model = body.path("model").asText();
        boolean isLoad = body.path("operation").asText().equals("load");
        String status;
        if (order.isPresent()
                || (body.has("expected") && body.path("expected").asLong() != sequence)) {
            status = "409 Conflict";
        } else if (isLoad == held.contains(model)) {
            status = "200 OK";
        } else {
            status = "202 Accepted";
            sequence++;
            order = Optional.of(model);
            int wanted = (held.size() + 1) * MODEL_MB;
            if (isLoad && wanted > WEIGHTS_MB) {
                record.line(
                        "LIMIT: %s holds %s and is ordered by %s to load %s: %d MB of %d MB",
                        identifier, held, body.path("holder").asText(), model, wanted, WEIGHTS_MB);
                isOverloaded = true;
                Thread.ofVirtual().start(this::close);
            } else {
                Thread.ofVirtual().start(() -> carryOut(model, isLoad));
            }
            remember();
        }
        record.line("order to %s: %s -> %s, holds %s", identifier, body, status, held);
        return status;
    }

    private void carryOut(String model, boolean isLoad) {
        try {
            if (isLoad) {
                Thread.sleep(LOAD_MILLISECONDS);
            }
            while (!isLoad && runs(model).get() > 0) {
                Thread.sleep(5);
            }
        } catch (InterruptedException ended) {
            return;
        }
        synchronized (this) {
            if (isLoad) {
                held.add(model);
            } else {
                held.remove(model);
            }
            order = Optional.empty();
            remember();
            record.line("%s holds %s", identifier, held);
        }
    }

    private synchronized AtomicInteger runs(String model) {
        return running.computeIfAbsent(model, name -> new AtomicInteger());
    }

    /** Begins a run, or returns the status of its refusal. */
    private synchronized Optional<String> begin(String model) {
        if (order.filter(model::equals).isPresent()) {
            return Optional.of("503 Service Unavailable");
        }
        if (!held.contains(model)) {
            return Optional.of("421 Misdirected Request");
        }
        runs(model).incrementAndGet();
        return Optional.empty();
    }

    private void run(Request request, OutputStream response) throws IOException, InterruptedException {
        String model = request.header("X-Model");
        Map<String, String> headers = Map.of(
                "X-Request-Id", request.header("X-Request-Id"), "X-Instance-Id", identifier, "X-Not-Executed", "1");
        Optional<String> refusal = begin(model);
        if (refusal.isPresent()) {
            send(response, refusal.get(), headers, new byte[0]);
            return;
        }
        try {
            record.line("run %s at %s model %s", request.header("X-Request-Id"), identifier, model);
            Thread.sleep(FIRST_EVENT_MILLISECONDS);
            beginStream(
                    response,
                    Map.of("X-Request-Id", request.header("X-Request-Id"), "X-Server-Stamp", "stamp-" + identifier));
            int tokens = Integer.parseInt(request.header("X-Token-Count").split(",")[1]);
            for (int event = 1; event <= tokens / TOKENS_PER_EVENT; event++) {
                if (isOverloaded) {
                    throw new IOException("crashed");
                }
                sendEvent(response, "id: " + event + "\ndata: " + model + "\n\n");
                Thread.sleep(INTERVAL_MILLISECONDS);
            }
            endStream(response);
        } finally {
            runs(model).decrementAndGet();
        }
    }
}
