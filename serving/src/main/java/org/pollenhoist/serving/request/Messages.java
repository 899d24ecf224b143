package org.pollenhoist.serving.request;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Locale;
import java.util.Set;
import org.pollenhoist.caller.Refusal;
import org.pollenhoist.serving.http.HopByHopHeaders;
import org.pollenhoist.serving.http.IncomingRequest;

/** Builds requests to upstreams and headers of responses to callers. */
final class Messages {

    private static final double MILLISECONDS_PER_SECOND = 1_000.0;

    private Messages() {}

    /** Returns the request to an upstream, with the caller's method, path and body. */
    static FullHttpRequest toUpstream(IncomingRequest incoming, ForwardingMetadata forwarding, RequestFormat format) {
        HttpRequest head = incoming.head();
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, head.method(), head.uri(), incoming.body().retainedDuplicate());
        format.forward(head.headers(), forwarding, request.headers());
        if (incoming.body().isReadable() || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            request.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, incoming.body().readableBytes());
        }
        return request;
    }

    /** Returns the headers of an upstream's response that are passed on to the caller. */
    static HttpHeaders toCaller(HttpResponse response) {
        HttpHeaders headers = new DefaultHttpHeaders();
        HopByHopHeaders.copyEndToEnd(response.headers(), headers, Set.of());
        return headers;
    }

    /** Returns the headers of a refusal. */
    static HttpHeaders refusal(Refusal refusal, String identifier, RequestFormat format) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        if (!identifier.isEmpty()) {
            format.addRequestIdentifier(headers, identifier);
        }
        refusal.retryAfter()
                .ifPresent(wait -> headers.set(
                        HttpHeaderNames.RETRY_AFTER,
                        String.format(Locale.ROOT, "%.3f", wait.toMillis() / MILLISECONDS_PER_SECOND)));
        return headers;
    }
}
