package org.pollenhoist.review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** A replica that streams and may leave: its answers then say so, and it serves for a while before it exits. */
final class LeavingServer extends SmallServer {

    /** A request that reached the replica. */
    record Arrival(String identifier, String machine, long at) {}

    static final int EVENTS = 20;
    private static final long FIRST_EVENT_MILLISECONDS = 60;
    private static final long INTERVAL_MILLISECONDS = 100;

    private final String identifier;
    private final Record record;
    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private int sequence;
    private volatile boolean isLeaving;

    LeavingServer(String identifier, Record record) throws IOException {
        this.identifier = identifier;
        this.record = record;
    }

    String identifier() {
        return identifier;
    }

    List<Arrival> arrivals() {
        return arrivals;
    }

    void leave() {
        isLeaving = true;
    }

    /** Writes the replica's entry, as it does once each heartbeat. */
    synchronized void beat(SmallStore store) {
        sequence++;
        store.put("servers/" + identifier, """
                {"service":"app","address":"127.0.0.1:%d","zone":"piraeus","version":"v1","slots":64,"state":"ready",\
                "coldLeftMs":0,"born":1000,"sequence":%d}""".formatted(address().getPort(), sequence));
    }

    @Override
    void answer(Request request, OutputStream response) throws IOException, InterruptedException {
        String id = request.header("X-Request-Id");
        Map<String, String> headers = new TreeMap<>(Map.of("X-Request-Id", id, "X-Instance-Id", identifier));
        if (isLeaving) {
            headers.put("Server-Leaving", "1");
        }
        if (!request.header("X-Expect-Instance").equals(identifier)) {
            send(response, "421 Misdirected Request", headers, new byte[0]);
            return;
        }
        arrivals.add(new Arrival(id, request.header("X-Machine"), record.now()));
        record.line("run %s at %s%s", id, identifier, isLeaving ? ", which leaves" : "");
        Thread.sleep(FIRST_EVENT_MILLISECONDS);
        headers.put("X-Server-Stamp", "stamp-" + identifier);
        beginStream(response, headers);
        for (int event = 1; event <= EVENTS; event++) {
            sendEvent(response, "id: " + event + "\ndata: " + identifier + "\n\n");
            Thread.sleep(INTERVAL_MILLISECONDS);
        }
        endStream(response);
        record.line("done %s at %s", id, identifier);
    }
}
