import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;

/** A replica of a plain service, which answers each request after a while with a body of a given size. */
final class PlainModel implements AutoCloseable {

    final String id;
    private final Set<String> runs = ConcurrentHashMap.newKeySet();
    private final Recorder record;
    private final StoreModel store;
    private final String zone;
    private final HttpServer server;
    private final long born = System.currentTimeMillis();
    private volatile int bodyBytes = 800;
    private volatile long workMs = 60;
    private volatile String lastTenant = "";

    PlainModel(String id, String zone, StoreModel store, Recorder record) throws IOException {
        this.id = id;
        this.zone = zone;
        this.store = store;
        this.record = record;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        server.createContext("/", this::serve);
        server.setExecutor(Executors.newCachedThreadPool(MachineFleet.DAEMON));
        server.start();
    }

    void setAnswer(int bytes, long milliseconds) {
        bodyBytes = bytes;
        workMs = milliseconds;
    }

    boolean hasRun(String requestId) {
        return runs.contains(requestId);
    }

    /** Returns the tenant for which the last request ran. */
    String lastTenant() {
        return lastTenant;
    }

    void register(String service) {
        store.put("servers/" + id, """
                {"service":"%s","address":"127.0.0.1:%d","zone":"%s","version":"v1","slots":6,"state":"ready",\
                "coldLeftMs":0,"born":%d,"models":[],"sequence":0}"""
                .formatted(service, server.getAddress().getPort(), zone, born));
    }

    private void serve(HttpExchange exchange) throws IOException {
        exchange.getRequestBody().readAllBytes();
        String requestId = String.valueOf(exchange.getRequestHeaders().getFirst("X-Request-Id"));
        String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
        exchange.getResponseHeaders().set("X-Instance-Id", id);
        exchange.getResponseHeaders().set("X-Request-Id", requestId);
        exchange.getResponseHeaders().set("X-Server-Load", "1,0,6");
        if (expected != null && !expected.equals(id)) {
            exchange.sendResponseHeaders(421, -1);
            exchange.close();
            return;
        }
        runs.add(requestId);
        lastTenant = String.valueOf(exchange.getRequestHeaders().getFirst("X-Tenant"));
        record.note(
                "replica %s: runs %s for tenant %s",
                id, requestId, exchange.getRequestHeaders().getFirst("X-Tenant"));
        try {
            Thread.sleep(workMs);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        byte[] body = new byte[bodyBytes];
        for (int index = 0; index < body.length; index++) {
            body[index] = (byte) ('a' + index % 26);
        }
        exchange.getResponseHeaders().set("X-Server-Stamp", "stamp." + id);
        exchange.sendResponseHeaders(200, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
        record.note("replica %s: answered %s with %d bytes", id, requestId, body.length);
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
