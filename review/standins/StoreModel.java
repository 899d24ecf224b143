import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * The platform's store as PROTOCOL.md and the news describe it: items, pages, watches, transactions, leases, and the
 * drill in which it comes back from a copy some seconds old with a higher Store-Era.
 */
final class StoreModel implements AutoCloseable {

    private record Item(String key, String value, long revision, long created, long lease) {}

    private record Change(String key, String value, long revision, long created, long lease, boolean isDeleted) {}

    private record Lease(long ttlMs, long endsAt) {}

    /** A copy of all that the store holds, to which it goes back in a drill. */
    static final class Copy {
        private final Map<String, Item> items;
        private final Set<Long> leases;
        private final long revision;
        final double takenAt;

        private Copy(Map<String, Item> items, Set<Long> leases, long revision, double takenAt) {
            this.items = items;
            this.leases = leases;
            this.revision = revision;
            this.takenAt = takenAt;
        }
    }

    private static final long ANSWER_MS = 4;
    private static final double READS_PER_S = 2_000;
    private static final double WRITES_PER_S = 400;

    private final Recorder record;
    private final HttpServer server;
    private final Map<String, Item> items = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Set<String> writtenOutside = new LinkedHashSet<>();
    private long revision = 40;
    private long lastLease = 77_000;
    private long era = 1;
    private boolean isAway;
    private long reads;
    private long currentSecond;
    private double readsThisSecond;
    private double writesThisSecond;

    StoreModel(Recorder record) throws IOException {
        this.record = record;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        server.createContext("/", this::handle);
        server.setExecutor(Executors.newCachedThreadPool(MachineFleet.DAEMON));
        server.start();
        Thread expiry = new Thread(this::expireLeases);
        expiry.setDaemon(true);
        expiry.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes as the operator or a replica does; returns the revision, with which the write is acknowledged. */
    synchronized long put(String key, String value) {
        writtenOutside.add(key);
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        revision++;
        store(key, encoded, 0);
        notifyAll();
        return revision;
    }

    synchronized long remove(String key) {
        writtenOutside.add(key);
        if (items.remove(key) != null) {
            history.add(new Change(key, "", ++revision, 0, 0, true));
            notifyAll();
        }
        return revision;
    }

    private void store(String key, String encoded, long lease) {
        long created = items.containsKey(key) ? items.get(key).created() : revision;
        items.put(key, new Item(key, encoded, revision, created, lease));
        history.add(new Change(key, encoded, revision, created, lease, false));
    }

    synchronized String value(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
    }

    synchronized long revisionOf(String key) {
        return items.containsKey(key) ? items.get(key).revision() : 0;
    }

    synchronized long revision() {
        return revision;
    }

    synchronized long reads() {
        return reads;
    }

    synchronized Copy copy() {
        return new Copy(new TreeMap<>(items), Set.copyOf(leases.keySet()), revision, record.seconds());
    }

    synchronized void goAway() {
        isAway = true;
        notifyAll();
    }

    synchronized void comeBack() {
        isAway = false;
        notifyAll();
    }

    /**
     * Comes back from a copy: what the system wrote since is gone, leases too, and revisions are given out again. What
     * the operator and the replicas wrote since is written again.
     */
    synchronized void comeBackFrom(Copy copy) {
        Map<String, Item> lost = new TreeMap<>(items);
        long lostRevision = revision;
        items.clear();
        items.putAll(copy.items);
        history.clear();
        leases.keySet().retainAll(copy.leases);
        leases.replaceAll((id, lease) -> new Lease(lease.ttlMs(), System.nanoTime() + lease.ttlMs() * 1_000_000));
        revision = copy.revision;
        era++;
        List<String> again = new ArrayList<>();
        for (String key : writtenOutside) {
            Item before = copy.items.get(key);
            Item after = lost.get(key);
            if (after != null && (before == null || before.revision() != after.revision())) {
                revision++;
                store(key, after.value(), 0);
                again.add(key + "@" + revision);
            } else if (after == null && before != null) {
                items.remove(key);
                history.add(new Change(key, "", ++revision, 0, 0, true));
                again.add("-" + key + "@" + revision);
            }
        }
        isAway = false;
        record.note(
                "store: back from the copy of %.3f, era %d, revision %d went back to %d, written again: %s",
                copy.takenAt, era, lostRevision, copy.revision, again);
        notifyAll();
    }

    private void expireLeases() {
        while (true) {
            try {
                Thread.sleep(20);
            } catch (InterruptedException interrupted) {
                return;
            }
            synchronized (this) {
                long now = System.nanoTime();
                if (!isAway) {
                    List.copyOf(leases.keySet()).stream()
                            .filter(id -> leases.get(id).endsAt() < now)
                            .forEach(this::endLease);
                }
            }
        }
    }

    private void endLease(long lease) {
        if (leases.remove(lease) == null) {
            return;
        }
        for (Item item : List.copyOf(items.values())) {
            if (item.lease() == lease) {
                items.remove(item.key());
                history.add(new Change(item.key(), "", ++revision, 0, 0, true));
                record.note("store: lease %d ended, %s removed at revision %d", lease, item.key(), revision);
            }
        }
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        StringBuilder out = new StringBuilder();
        int status;
        pause(ANSWER_MS);
        synchronized (this) {
            status = isAway ? 503 : isTooMany(path) ? 429 : answer(exchange.getRequestMethod(), path, query, body, out);
            exchange.getResponseHeaders().set("Store-Era", String.valueOf(era));
        }
        byte[] bytes = (out.isEmpty() ? "{}" : out.toString()).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private int answer(String method, String path, Map<String, String> query, byte[] body, StringBuilder out) {
        if (path.equals("/api/kv-range")) {
            reads++;
            range(query, out);
            return 200;
        }
        if (path.equals("/api/kv-key")) {
            reads++;
            Item item = items.get(query.get("key"));
            if (item == null) {
                return 404;
            }
            out.append(json(item)).setLength(out.length() - 1);
            out.append(",\"asOf\":").append(revision).append('}');
            return 200;
        }
        if (path.equals("/api/kv-watch")) {
            reads++;
            return watch(query, out);
        }
        if (path.equals("/api/kv-txn")) {
            return transact(JsonReader.object(new String(body, StandardCharsets.UTF_8)), out);
        }
        if (path.equals("/api/kv-lease")) {
            long ttl = (Long) JsonReader.object(new String(body, StandardCharsets.UTF_8)).get("ttlMs");
            leases.put(++lastLease, new Lease(ttl, System.nanoTime() + ttl * 1_000_000));
            out.append("{\"lease\":" + lastLease + ",\"ttlMs\":" + ttl + "}");
            return 200;
        }
        if (path.startsWith("/api/kv-keep/")) {
            long id = Long.parseLong(path.substring("/api/kv-keep/".length()));
            Lease lease = leases.get(id);
            if (lease == null) {
                return 404;
            }
            leases.put(id, new Lease(lease.ttlMs(), System.nanoTime() + lease.ttlMs() * 1_000_000));
            out.append("{\"ttlMs\":" + lease.ttlMs() + "}");
            return 200;
        }
        if (path.startsWith("/api/kv-lease-end/") && method.equals("DELETE")) {
            endLease(Long.parseLong(path.substring("/api/kv-lease-end/".length())));
            return 200;
        }
        return 404;
    }

    private static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Counts a call against the rates of sites/thalassa-ops.toml; a renewal counts as a tenth of a read. */
    private boolean isTooMany(String path) {
        long second = System.nanoTime() / 1_000_000_000;
        if (second != currentSecond) {
            currentSecond = second;
            readsThisSecond = 0;
            writesThisSecond = 0;
        }
        boolean isWrite = path.equals("/api/kv-txn") || path.equals("/api/kv-lease");
        if (isWrite) {
            return ++writesThisSecond > WRITES_PER_S;
        }
        readsThisSecond += path.startsWith("/api/kv-keep/") ? 0.1 : 1;
        return readsThisSecond > READS_PER_S;
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : text == null ? new String[0] : text.split("&")) {
            String[] parts = pair.split("=", 2);
            query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
        }
        return query;
    }

    private void range(Map<String, String> query, StringBuilder out) {
        String prefix = query.get("pathPrefix");
        String after = query.getOrDefault("after", "");
        List<String> found = new ArrayList<>();
        items.values().stream()
                .filter(item -> item.key().startsWith(prefix) && item.key().compareTo(after) > 0)
                .forEach(item -> found.add(json(item)));
        boolean isMore = found.size() > 500;
        out.append("{\"items\":[")
                .append(String.join(",", isMore ? found.subList(0, 500) : found))
                .append("],\"morePages\":" + isMore + ",\"asOf\":" + revision + "}");
    }

    private static String json(Item item) {
        return "{\"key\":\"" + item.key() + "\",\"value\":\"" + item.value() + "\",\"revision\":" + item.revision()
                + ",\"created\":" + item.created() + ",\"lease\":" + item.lease() + "}";
    }

    private int watch(Map<String, String> query, StringBuilder out) {
        String prefix = query.getOrDefault("pathPrefix", "");
        long after = Long.parseLong(query.get("after"));
        long waitMs = Long.parseLong(query.getOrDefault("waitMs", "0"));
        long end = System.nanoTime() + waitMs * 1_000_000;
        long askedEra = era;
        if (after > revision) {
            return 410;
        }
        while (true) {
            if (isAway) {
                return 503;
            }
            if (era != askedEra) {
                return 410;
            }
            List<String> events = new ArrayList<>();
            for (Change change : history) {
                if (change.revision() > after && change.key().startsWith(prefix)) {
                    events.add(
                            change.isDeleted()
                                    ? "{\"key\":\"" + change.key() + "\",\"revision\":" + change.revision()
                                            + ",\"deleted\":true}"
                                    : json(new Item(
                                            change.key(),
                                            change.value(),
                                            change.revision(),
                                            change.created(),
                                            change.lease())));
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                out.append("{\"events\":[").append(String.join(",", events)).append("],\"asOf\":" + revision + "}");
                return 200;
            }
            try {
                wait(left);
            } catch (InterruptedException interrupted) {
                return 503;
            }
        }
    }

    @SuppressWarnings("unchecked")
    private int transact(Map<String, Object> body, StringBuilder out) {
        List<Map<String, Object>> expected = (List<Map<String, Object>>) body.getOrDefault("expected", List.of());
        List<Map<String, Object>> written = (List<Map<String, Object>>) body.getOrDefault("writes", List.of());
        List<String> removed = (List<String>) (List<?>) body.getOrDefault("remove", List.of());
        boolean isForbidden = written.stream()
                        .map(row -> (String) row.get("key"))
                        .anyMatch(key -> key.startsWith("op/") || key.startsWith("servers/"))
                || removed.stream().anyMatch(key -> key.startsWith("op/") || key.startsWith("servers/"));
        if (isForbidden) {
            return 403;
        }
        for (Map<String, Object> row : expected) {
            Item item = items.get((String) row.get("key"));
            if ((item == null ? 0 : item.revision()) != (Long) row.get("revision")) {
                List<String> current = new ArrayList<>();
                expected.forEach(each -> {
                    Item found = items.get((String) each.get("key"));
                    if (found != null) {
                        current.add(json(found));
                    }
                });
                out.append("{\"items\":[").append(String.join(",", current)).append("]}");
                return 412;
            }
        }
        for (Map<String, Object> row : written) {
            Object lease = row.get("lease");
            if (lease instanceof Long id && id != 0 && !leases.containsKey(id)) {
                return 404;
            }
        }
        revision++;
        for (Map<String, Object> row : written) {
            Object lease = row.get("lease");
            store((String) row.get("key"), (String) row.get("value"), lease instanceof Long id ? id : 0);
            record.note("store: the system wrote %s at revision %d", row.get("key"), revision);
        }
        for (String key : removed) {
            if (items.remove(key) != null) {
                history.add(new Change(key, "", revision, 0, 0, true));
            }
        }
        out.append("{\"revision\":" + revision + "}");
        notifyAll();
        return 200;
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
