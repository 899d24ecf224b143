package org.pollenhoist.serving.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Tells which headers concern one connection only and are not passed on (RFC 9110, section 7.6.1). */
public final class HopByHopHeaders {

    private static final Set<String> ALWAYS = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect");

    private HopByHopHeaders() {}

    /**
     * Copies the headers that concern both ends.
     *
     * @param from the headers of a message
     * @param to receives the copies
     * @param excluded names in lower case that are left out as well
     */
    public static void copyEndToEnd(HttpHeaders from, HttpHeaders to, Set<String> excluded) {
        Set<String> named = namedByConnection(from);
        for (Map.Entry<String, String> header : from) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!ALWAYS.contains(name) && !named.contains(name) && !excluded.contains(name)) {
                to.add(header.getKey(), header.getValue());
            }
        }
    }

    private static Set<String> namedByConnection(HttpHeaders headers) {
        Set<String> named = new TreeSet<>();
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",", -1)) {
                named.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        return named;
    }
}
