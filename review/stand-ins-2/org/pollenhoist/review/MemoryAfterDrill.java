package org.pollenhoist.review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/**
 * Four empty replicas are added and get models; then the store comes back from a copy in which they are still empty, and
 * some rare models are asked for.
 */
final class MemoryAfterDrill {

    private static final List<String> ZONES = List.of("piraeus", "lavrio", "rafina");
    private static final int MODELS = 40;
    private static final int FIRST_REPLICAS = 9;
    private static final int ADDED_REPLICAS = 4;
    private static final int ASKED_MODELS = 6;
    private static final long HEARTBEAT_MILLISECONDS = 1_200;
    private static final int SHORT_TOKENS = 80;
    private static final int LONG_TOKENS = 1_000;

    private final boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final Record record;
    private final SmallStore store = new SmallStore();
    private final List<EngineServer> engines = new ArrayList<>();
    private final AtomicInteger lastRequest = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private volatile boolean isAway;
    private volatile boolean isOver;
    private SmallFleet fleet;

    private MemoryAfterDrill(Record record) throws IOException {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        int result = 2;
        try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
            MemoryAfterDrill test = new MemoryAfterDrill(record);
            try {
                result = test.run(Path.of(arguments[1]));
            } finally {
                test.close();
            }
        }
        System.exit(result);
    }

    private static String configuration() {
        StringBuilder models = new StringBuilder();
        for (int number = 0; number < MODELS; number++) {
            models.append(number == 0 ? "" : ",").append("""
                    {"name":"m%d","weightsMb":%d,"loadTimeS":1.5,"adapters":0,"adapterSizeMb":12.0,\
                    "warmupS":0.76,"diskLoadS":1.5}""".formatted(number, EngineServer.MODEL_MB));
        }
        return """
                {"version":7,"routes":[{"name":"chat","host":"fleet.example","pathPrefix":"/chat/","type":"streaming",\
                "timeoutMs":15000,"sloMs":6000,"priority":1,"service":"llm","maxAttempts":1,"public":true,\
                "sticky":true,"resumable":false,"gapTargetMs":400}],"services":[{"name":"llm","healthPath":"/health",\
                "maxConns":370,"engine":{"slots":64,"kvCapacity":131777,"weightsMb":%d,"maxAdapters":8,\
                "loadsPerS":12,"models":[%s]}}],"limits":{"maxHeaderBytes":65536,"maxBodyBytes":4194304,\
                "headerTimeoutMs":5000,"idleTimeoutMs":15000},"tenants":[]}""".formatted(EngineServer.WEIGHTS_MB, models);
    }

    private static void sleep(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void add(int number, Set<String> models) throws IOException {
        EngineServer engine = new EngineServer("i-" + number, ZONES.get(number % ZONES.size()), models, record);
        engines.add(engine);
        Thread.ofVirtual().start(() -> {
            while (!isOver) {
                if (!isAway) {
                    engine.beat(store);
                }
                sleep(HEARTBEAT_MILLISECONDS);
            }
        });
    }

    private int run(Path temporary) throws Exception {
        store.put("op/config", configuration());
        for (int number = 1; number <= FIRST_REPLICAS; number++) {
            add(number, Set.of("m0", "m" + (2 * number - 1), "m" + 2 * number));
        }
        fleet = new SmallFleet(temporary, store.address(), ZONES.toArray(String[]::new));
        if (!fleet.awaitReady()) {
            record.say("the machines did not become ready");
            return 2;
        }
        for (int number = 0; number < 12; number++) {
            Thread.ofVirtual().start(this::client);
        }
        sleep(12_000);
        record.line("empty replicas are added");
        for (int number = 1; number <= ADDED_REPLICAS; number++) {
            add(FIRST_REPLICAS + number, Set.of());
            sleep(HEARTBEAT_MILLISECONDS / ADDED_REPLICAS);
        }
        SmallStore.Copy copy = store.copy();
        record.line("copy made");
        for (int waited = 0; waited < 100 && !isFull(); waited++) {
            sleep(100);
        }
        added().forEach(engine -> record.line("%s holds %s", engine.identifier(), engine.held()));
        if (!isFull()) {
            record.say("the new replicas did not get models in time");
            return 2;
        }
        sleep(HEARTBEAT_MILLISECONDS + 200);
        for (EngineServer engine : added()) {
            engine.held().forEach(model -> Thread.ofVirtual().start(() -> ask(model, LONG_TOKENS)));
        }
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
        for (String model : heldNowhere()) {
            Thread.ofVirtual().start(() -> ask(model, SHORT_TOKENS));
            sleep(30);
        }
        sleep(8_000);
        isOver = true;
        sleep(1_000);
        long overloaded = engines.stream().filter(EngineServer::isOverloaded).count();
        record.say(
                "served=%d refused=%d broken_off=%d replicas_ordered_to_load_too_much=%d",
                served.get(), refused.get(), lost.get(), overloaded);
        if (served.get() < 100) {
            record.say("too few requests were served");
            return 2;
        }
        return overloaded > 0 ? 1 : 0;
    }

    private List<EngineServer> added() {
        return engines.subList(FIRST_REPLICAS, engines.size());
    }

    private boolean isFull() {
        return added().stream().allMatch(engine -> engine.held().size() == 3);
    }

    private List<String> heldNowhere() {
        return IntStream.range(0, MODELS)
                .mapToObj(number -> "m" + number)
                .filter(model -> engines.stream().noneMatch(engine -> engine.held().contains(model)))
                .limit(ASKED_MODELS)
                .toList();
    }

    /** Asks for the busy models. */
    private void client() {
        while (!isOver) {
            ThreadLocalRandom random = ThreadLocalRandom.current();
            ask("m" + (random.nextInt(4) < 3 ? 0 : random.nextInt(1, 2 * FIRST_REPLICAS + 1)), SHORT_TOKENS);
            sleep(random.nextInt(40, 120));
        }
    }

    private void ask(String model, int tokens) {
        String identifier = "r" + lastRequest.incrementAndGet();
        int machine = ThreadLocalRandom.current().nextInt(fleet.size());
        record.line("send %s to %s model %s for %d tokens", identifier, fleet.name(machine), model, tokens);
        try (SmallClient client = new SmallClient(fleet.callers(machine), 8_000)) {
            Map<String, String> headers = Map.of(
                    "X-Request-Id", identifier,
                    "X-Deadline-Ms", "8000",
                    "X-Model", model,
                    "X-Token-Count", "300," + tokens,
                    "X-Prompt-Prefix", "5c1e07a2:100,91bd3f06:200");
            client.send("POST", "/chat/x", headers, ("question " + identifier).getBytes());
            SmallClient.Head head = client.readHead();
            client.readBody(head);
            record.line("answer %s status %d", identifier, head.status());
            (head.status() == 200 ? served : refused).incrementAndGet();
        } catch (IOException broken) {
            record.line("channel of %s broken: %s", identifier, broken);
            lost.incrementAndGet();
        }
    }

    private void close() {
        isOver = true;
        if (fleet != null) {
            fleet.close();
        }
        engines.forEach(EngineServer::close);
        store.close();
    }
}
