package org.pollenhoist.serving.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Leaves out the headers that apply to a single connection and must not be forwarded (RFC 9110, section 7.6.1). */
public final class HopByHopHeaders {

    private static final Set<String> HOP_BY_HOP = Set.of(
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
     * Copies the end-to-end headers of a message.
     *
     * @param from the headers of the message
     * @param to the headers to which they are added
     * @param excluded names of further headers to leave out, in lower case
     */
    public static void copyEndToEnd(HttpHeaders from, HttpHeaders to, Set<String> excluded) {
        Set<String> named = namedByConnection(from);
        for (Map.Entry<String, String> header : from) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !named.contains(name) && !excluded.contains(name)) {
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
