package org.pollenhoist.review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's metadata store: items, ranges, watches, transactions, leases that expire, and the drill, in which it is
 * away for a moment and comes back from an older copy.
 */
final class SmallStore implements AutoCloseable {

    /** The contents of the store at one time. */
    record Copy(Map<String, Item> items, Map<Long, Long> leaseMilliseconds, long revision) {}

    record Item(String key, String value, long created, long revision, boolean isRemoved, long lease) {}

    private static final class Lease {
        private final long ttlMilliseconds;
        private long endsAt;

        private Lease(long ttlMilliseconds) {
            this.ttlMilliseconds = ttlMilliseconds;
            renew();
        }

        private void renew() {
            endsAt = milliseconds() + ttlMilliseconds;
        }
    }

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int PAGE = 500;
    private static final long MINIMUM_TTL_MILLISECONDS = 1_000;
    private static final long MAXIMUM_TTL_MILLISECONDS = 600_000;
    private static final long RESPONSE_MILLISECONDS = 4;

    private final SmallServer server;
    private final Map<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 1;
    private long historyStart = 1;
    private long era = 1;
    private long lastLease;
    private boolean isAway;
    private volatile boolean isClosed;

    SmallStore() throws IOException {
        server = new SmallServer() {
            @Override
            void answer(Request request, OutputStream response) throws IOException, InterruptedException {
                handle(request, response);
            }
        };
        Thread.ofVirtual().start(this::expireLeases);
    }

    InetSocketAddress address() {
        return server.address();
    }

    private static long milliseconds() {
        return System.nanoTime() / 1_000_000;
    }

    /** Writes an item as the operator or a server does. */
    synchronized void put(String key, String text) {
        write(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), ++revision, 0);
    }

    synchronized void remove(String key) {
        if (items.containsKey(key)) {
            delete(key, ++revision);
        }
    }

    synchronized boolean contains(String key) {
        return items.containsKey(key);
    }

    synchronized String text(String key) {
        Item item = items.get(key);
        return item == null ? "" : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
    }

    synchronized Copy copy() {
        Map<Long, Long> copied = new HashMap<>();
        leases.forEach((number, lease) -> copied.put(number, lease.ttlMilliseconds));
        return new Copy(new TreeMap<>(items), copied, revision);
    }

    /** Begins the drill: calls get 503, which promises that nothing was done. */
    synchronized void goAway() {
        isAway = true;
        notifyAll();
    }

    /** Ends the drill. What was written after the copy is gone, and the leases of the copy begin anew. */
    synchronized void comeBackFrom(Copy copy) {
        era++;
        items.clear();
        items.putAll(copy.items());
        leases.clear();
        copy.leaseMilliseconds().forEach((number, ttl) -> leases.put(number, new Lease(ttl)));
        history.clear();
        revision = copy.revision();
        historyStart = copy.revision();
        isAway = false;
        notifyAll();
    }

    private void write(String key, String value, long at, long lease) {
        Item known = items.get(key);
        Item written = new Item(key, value, known == null ? at : known.created(), at, false, lease);
        items.put(key, written);
        history.add(written);
        notifyAll();
    }

    private void delete(String key, long at) {
        items.remove(key);
        history.add(new Item(key, "", 0, at, true, 0));
        notifyAll();
    }

    private void expireLeases() {
        while (!isClosed) {
            synchronized (this) {
                List<Long> ended = leases.entrySet().stream()
                        .filter(entry -> entry.getValue().endsAt <= milliseconds())
                        .map(Map.Entry::getKey)
                        .toList();
                ended.forEach(this::endLease);
            }
            pause(20);
        }
    }

    private void endLease(long number) {
        leases.remove(number);
        List<String> keys = items.values().stream()
                .filter(item -> item.lease() == number)
                .map(Item::key)
                .toList();
        keys.forEach(key -> delete(key, ++revision));
    }

    private static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void handle(SmallServer.Request request, OutputStream output) throws IOException, InterruptedException {
        Thread.sleep(RESPONSE_MILLISECONDS);
        String[] uri = request.path().split("\\?", 2);
        Map<String, String> query = query(uri.length < 2 ? null : uri[1]);
        ObjectNode response = MAPPER.createObjectNode();
        int status;
        long namedEra;
        synchronized (this) {
            status = isAway ? 503 : respond(request.method(), uri[0], query, request.body(), response);
            namedEra = era;
        }
        Map<String, String> headers =
                Map.of("Store-Era", String.valueOf(namedEra), "Content-Type", "application/json");
        SmallServer.send(output, status + " Status", headers, response.toString().getBytes(StandardCharsets.UTF_8));
    }

    private int respond(String method, String path, Map<String, String> query, byte[] body, ObjectNode response)
            throws IOException {
        if (path.equals("/api/kv-range")) {
            return range(query, response);
        }
        if (path.equals("/api/kv-key")) {
            return key(query, response);
        }
        if (path.equals("/api/kv-watch")) {
            return watch(query, response);
        }
        if (path.equals("/api/kv-txn")) {
            return transact(MAPPER.readTree(body), response);
        }
        if (path.equals("/api/kv-lease")) {
            long ttl = Math.clamp(
                    MAPPER.readTree(body).path("ttlMs").asLong(), MINIMUM_TTL_MILLISECONDS, MAXIMUM_TTL_MILLISECONDS);
            leases.put(++lastLease, new Lease(ttl));
            response.put("lease", lastLease).put("ttlMs", ttl);
            return 200;
        }
        if (path.startsWith("/api/kv-keep/")) {
            Lease lease = leases.get(number(path));
            if (lease == null) {
                return 404;
            }
            lease.renew();
            response.put("ttlMs", lease.ttlMilliseconds);
            return 200;
        }
        if (path.startsWith("/api/kv-lease-end/") && method.equals("DELETE")) {
            if (!leases.containsKey(number(path))) {
                return 404;
            }
            endLease(number(path));
            return 200;
        }
        return 404;
    }

    private static long number(String path) {
        return Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String parameter : text == null ? new String[0] : text.split("&", -1)) {
            String[] pair = parameter.split("=", 2);
            query.put(pair[0], pair.length < 2 ? "" : URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
        }
        return query;
    }

    private int key(Map<String, String> query, ObjectNode response) {
        Item item = items.get(query.get("key"));
        if (item == null) {
            return 404;
        }
        describe(item, response);
        response.put("asOf", revision);
        return 200;
    }

    private int range(Map<String, String> query, ObjectNode response) {
        ArrayNode list = response.putArray("items");
        List<Item> found = items.values().stream()
                .filter(item -> item.key().startsWith(query.getOrDefault("pathPrefix", "")))
                .filter(item -> item.key().compareTo(query.getOrDefault("after", "")) > 0)
                .toList();
        found.stream().limit(PAGE).forEach(item -> describe(item, list.addObject()));
        response.put("morePages", found.size() > PAGE).put("asOf", revision);
        return 200;
    }

    private static void describe(Item item, ObjectNode node) {
        node.put("key", item.key()).put("revision", item.revision());
        if (item.isRemoved()) {
            node.put("deleted", true);
        } else {
            node.put("value", item.value()).put("created", item.created()).put("lease", item.lease());
        }
    }

    private int watch(Map<String, String> query, ObjectNode response) {
        String prefix = query.getOrDefault("pathPrefix", "");
        long after = Long.parseLong(query.get("after"));
        long deadline = milliseconds() + Long.parseLong(query.get("waitMs"));
        long askedEra = era;
        if (after > revision || after < historyStart) {
            return 410;
        }
        List<Item> events = events(prefix, after);
        while (events.isEmpty() && !isAway && era == askedEra && milliseconds() < deadline) {
            try {
                wait(Math.max(1, deadline - milliseconds()));
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return 503;
            }
            events = events(prefix, after);
        }
        if (isAway) {
            return 503;
        }
        if (era != askedEra) {
            return 410;
        }
        ArrayNode list = response.putArray("events");
        events.forEach(item -> describe(item, list.addObject()));
        response.put("asOf", revision);
        return 200;
    }

    private List<Item> events(String prefix, long after) {
        return history.stream()
                .filter(item -> item.revision() > after && item.key().startsWith(prefix))
                .toList();
    }

    private int transact(JsonNode body, ObjectNode response) {
        ArrayNode current = MAPPER.createArrayNode();
        boolean holds = true;
        for (JsonNode condition : body.path("expected")) {
            Item item = items.get(condition.path("key").asText());
            holds &= (item == null ? 0 : item.revision())
                    == condition.path("revision").asLong();
            if (item != null) {
                describe(item, current.addObject());
            }
        }
        if (!holds) {
            response.set("items", current);
            return 412;
        }
        for (JsonNode write : body.path("writes")) {
            long lease = write.path("lease").asLong(0);
            if (lease != 0 && !leases.containsKey(lease)) {
                return 404;
            }
            String key = write.path("key").asText();
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return 403;
            }
        }
        revision++;
        for (JsonNode write : body.path("writes")) {
            write(
                    write.path("key").asText(),
                    write.path("value").asText(),
                    revision,
                    write.path("lease").asLong(0));
        }
        body.path("remove").forEach(key -> delete(key.asText(), revision));
        response.put("revision", revision);
        return 200;
    }

    @Override
    public void close() {
        isClosed = true;
        goAway();
        server.close();
    }
}
