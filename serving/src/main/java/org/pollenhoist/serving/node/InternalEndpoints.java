package org.pollenhoist.serving.node;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.catalog.CallerLimits;
import org.pollenhoist.serving.forwarding.ForwardingServer;
import org.pollenhoist.serving.http.CallerListener;
import org.pollenhoist.serving.http.CallerResponse;
import org.pollenhoist.serving.http.CallerServer;
import org.pollenhoist.serving.http.IncomingRequest;

/**
 * HTTP endpoints that are not meant for callers: readiness, metrics, and relay requests of peers. Confined to the event
 * loop.
 */
final class InternalEndpoints {

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int NOT_READY = 503;

    private final CallerServer callers;
    private final Set<String> singleFields;
    private final List<CallerServer> servers = new ArrayList<>();

    /**
     * Creates endpoints that don't listen yet.
     *
     * @param callers the server of callers, on whose event loop and with whose memory for headers these endpoints run
     * @param singleFields names, in lower case, of the fields that a caller's request has at most once
     */
    InternalEndpoints(CallerServer callers, Set<String> singleFields) {
        this.callers = callers;
        this.singleFields = ForwardingServer.singleFields(singleFields);
    }

    ChannelFuture listen(InetSocketAddress address, String path, BiConsumer<String, CallerResponse> onRequest) {
        return listen(address, () -> CallerLimits.DEFAULTS, (request, response) -> {
            handle(request, response, path, onRequest);
            return () -> {};
        });
    }

    /** Listens for peers: for requests to send to upstreams, and for relay requests at the given path. */
    ChannelFuture listenForPeers(
            InetSocketAddress address,
            ForwardingServer forwarding,
            Supplier<CallerLimits> limits,
            BiConsumer<String, CallerResponse> onRelayRequest) {
        return listen(address, limits, (request, response) -> {
            if (ForwardingServer.isAskedBy(request.head())) {
                return forwarding.onRequest(request, response);
            }
            handle(request, response, StoreRelayServer.PATH, onRelayRequest);
            return () -> {};
        });
    }

    private ChannelFuture listen(InetSocketAddress address, Supplier<CallerLimits> limits, CallerListener listener) {
        CallerServer server = callers.beside(limits, singleFields, listener);
        servers.add(server);
        return server.listen(address);
    }

    /** Closes connections whose other ends take nothing of a response for too long. */
    void closeStalled(MonotonicTime now) {
        servers.forEach(server -> server.closeStalled(now));
    }

    private static void handle(
            IncomingRequest request,
            CallerResponse response,
            String path,
            BiConsumer<String, CallerResponse> onRequest) {
        request.body().release();
        String uri = request.head().uri();
        if (uri.equals(path) || uri.startsWith(path + '?')) {
            onRequest.accept(uri, response);
        } else {
            response.sendFull(NOT_FOUND, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
        }
    }

    static BiConsumer<String, CallerResponse> readiness(BooleanSupplier isReady) {
        return (uri, response) -> response.sendFull(
                isReady.getAsBoolean() ? OK : NOT_READY, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
    }

    static BiConsumer<String, CallerResponse> metrics(PrometheusRegistry registry) {
        return (uri, response) -> {
            ByteArrayOutputStream text = new ByteArrayOutputStream();
            try {
                PrometheusTextFormatWriter.create().write(text, registry.scrape());
            } catch (IOException unexpected) {
                throw new IllegalStateException("writing metrics to an in-memory buffer failed", unexpected);
            }
            DefaultHttpHeaders headers = new DefaultHttpHeaders();
            headers.set(HttpHeaderNames.CONTENT_TYPE, PrometheusTextFormatWriter.CONTENT_TYPE);
            response.sendFull(OK, headers, Unpooled.wrappedBuffer(text.toByteArray()));
        };
    }
}
