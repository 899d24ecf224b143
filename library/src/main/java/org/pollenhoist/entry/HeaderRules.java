package org.pollenhoist.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.pollenhoist.caller.KeyScrubber;
import org.pollenhoist.upstream.UpstreamRequest;
import ratpack.http.Headers;

/** Which headers pass: towards upstreams by an allow-list, towards callers all that don't belong to one connection. */
final class HeaderRules {

    private static final List<String> TO_UPSTREAM = List.of(
            "Accept",
            "Accept-Language",
            "Content-Type",
            "Idempotency-Key",
            "If-Match",
            "If-None-Match",
            "traceparent",
            "tracestate");

    private static final String PRIORITY = "X-Priority";

    private static final Set<String> NOT_TO_CALLER = Set.of(
            "connection",
            "content-length",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "x-not-run");

    private HeaderRules() {}

    static List<UpstreamRequest.Header> toUpstream(Headers received, KeyScrubber scrubber, int priority) {
        List<UpstreamRequest.Header> chosen = new ArrayList<>();
        for (String name : TO_UPSTREAM) {
            String value = received.get(name);
            if (value != null && !scrubber.holdsKey(value)) {
                chosen.add(new UpstreamRequest.Header(name, value));
            }
        }
        chosen.add(new UpstreamRequest.Header(PRIORITY, Integer.toString(priority)));
        return chosen;
    }

    static SortedMap<String, String> toCaller(Headers received) {
        SortedMap<String, String> chosen = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String name : received.getNames()) {
            if (!NOT_TO_CALLER.contains(name.toLowerCase(Locale.ROOT))) {
                chosen.put(name, received.get(name));
            }
        }
        return chosen;
    }
}
