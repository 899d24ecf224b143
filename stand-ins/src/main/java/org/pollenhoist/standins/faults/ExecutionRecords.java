package org.pollenhoist.standins.faults;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import ratpack.http.Headers;
import ratpack.http.Request;

/** All executions of an upstream since its start. Safe for use by several threads. */
public final class ExecutionRecords {

    private static final Pattern MARKER = Pattern.compile("marker[=:]([A-Za-z0-9-]+)");

    private final List<ExecutionRecord> records = new ArrayList<>();

    /**
     * Finds the marker in a request's body: the name that follows {@code marker=}.
     *
     * @param body the body
     * @return the marker, empty where there is none
     */
    public static String markerOf(byte[] body) {
        Matcher matcher = MARKER.matcher(new String(body, StandardCharsets.UTF_8));
        return matcher.find() ? matcher.group(1) : "";
    }

    /**
     * Records the begin of an execution.
     *
     * @param request the request
     * @param body its body
     * @return the execution's number
     */
    public synchronized long start(Request request, byte[] body) {
        Headers headers = request.getHeaders();
        long number = records.size() + 1L;
        records.add(new ExecutionRecord(
                number,
                request.getMethod().getName(),
                request.getRawUri(),
                textOf(headers, "X-Request-Id"),
                textOf(headers, "Idempotency-Key"),
                markerOf(body),
                digestOf(body),
                allOf(headers),
                ExecutionRecord.State.STARTED));
        return number;
    }

    /**
     * Records the end of an execution; only the first end counts.
     *
     * @param number the execution's number
     * @param state how it ended
     */
    public synchronized void end(long number, ExecutionRecord.State state) {
        int index = (int) number - 1;
        ExecutionRecord ended = records.get(index);
        if (ended.state() == ExecutionRecord.State.STARTED) {
            records.set(index, ended.withState(state));
        }
    }

    /**
     * Returns all executions so far.
     *
     * @return a copy, in their order of begin
     */
    public synchronized List<ExecutionRecord> read() {
        return List.copyOf(records);
    }

    private static String textOf(Headers headers, String name) {
        String value = headers.get(name);
        return value == null ? "" : value;
    }

    private static Map<String, String> allOf(Headers headers) {
        Map<String, String> all = new TreeMap<>();
        for (String name : headers.getNames()) {
            all.put(name.toLowerCase(Locale.ROOT), String.join(", ", headers.getAll(name)));
        }
        return all;
    }

    private static String digestOf(byte[] body) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(body));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the virtual machine offers no SHA-256", e);
        }
    }
}
