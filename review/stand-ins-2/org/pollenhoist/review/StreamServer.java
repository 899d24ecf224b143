package org.pollenhoist.review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Map;

/** A replica of one software version that streams events and goes on after the event that a request names. */
final class StreamServer extends SmallServer {

    static final int EVENTS = 40;

    /** Number of events of a stream whose path contains {@link #LONG}. */
    static final int LONG_EVENTS = 100;

    static final String LONG = "long";

    private static final long INTERVAL_MILLISECONDS = 100;

    private final String identifier;
    private final String version;
    private final Record record;
    private int sequence;

    StreamServer(String identifier, String version, Record record) throws IOException {
        this.identifier = identifier;
        this.version = version;
        this.record = record;
    }

    /** Writes the replica's entry, as it does once each heartbeat. */
    synchronized void beat(SmallStore store) {
        sequence++;
        store.put("servers/" + identifier, """
                {"service":"app","address":"127.0.0.1:%d","zone":"piraeus","version":"%s","slots":128,\
                "state":"ready","coldLeftMs":0,"born":1000,"sequence":%d}""".formatted(
                        address().getPort(), version, sequence));
    }

    @Override
    void answer(Request request, OutputStream response) throws IOException, InterruptedException {
        String after = request.header("Last-Event-Id");
        int first = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
        record.line("run %s at %s version %s from event %d", request.header("X-Request-Id"), identifier, version, first);
        beginStream(
                response,
                Map.of("X-Request-Id", request.header("X-Request-Id"), "X-Server-Stamp", "stamp-" + identifier));
        int last = request.path().contains(LONG) ? LONG_EVENTS : EVENTS;
        for (int event = first; event <= last; event++) {
            sendEvent(response, "id: " + event + "\ndata: " + version + "\n\n");
            Thread.sleep(INTERVAL_MILLISECONDS);
        }
        endStream(response);
    }
}
