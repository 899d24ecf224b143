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

/** Builds the messages that go to upstreams and callers. */
final class Messages {

    private static final double MILLISECONDS_PER_SECOND = 1_000.0;

    private Messages() {}

    /** A caller's request as it goes to an upstream: method, path and body unchanged. */
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

    /** The headers of an upstream's answer as they go to the caller. */
    static HttpHeaders toCaller(HttpResponse answer) {
        HttpHeaders headers = new DefaultHttpHeaders();
        HopByHopHeaders.copyEndToEnd(answer.headers(), headers, Set.of());
        return headers;
    }

    /** The headers of a refusal. */
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
