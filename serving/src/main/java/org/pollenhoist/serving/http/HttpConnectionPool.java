package org.pollenhoist.serving.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.transport.Transport;
import org.pollenhoist.upstream.ResponseDecoder;

/**
 * A pool of client connections to upstreams, the store and peers, which are kept open between exchanges. A connection
 * carries one exchange at a time and is not reused after anything unexpected was received on it. Confined to the event
 * loop.
 */
public final class HttpConnectionPool {

    /** Maximum size of the header of a response, in bytes. */
    private static final int MAXIMUM_HEADER_BYTES = 32_768;

    private static final int MAXIMUM_LINE_BYTES = 8_192;
    private static final int MAXIMUM_CHUNK_BYTES = 65_536;

    /** Idle time after which a connection is closed if the other end has announced no time-out for idle connections. */
    static final Duration DEFAULT_KEEP_ALIVE = Duration.ofSeconds(4);

    /** How long before the other end's time-out an idle connection is no longer reused. */
    private static final Duration KEEP_ALIVE_MARGIN = Duration.ofMillis(600);

    private static final Deque<HttpConnection> EMPTY = new ArrayDeque<>();

    private final EventLoop loop;
    private final Supplier<MonotonicTime> clock;
    private final BiConsumer<Target, HttpResponse> onResponse;
    private final Set<String> singleFields;
    private final Map<Target, Deque<HttpConnection>> idle = new HashMap<>();
    private long openedConnections;

    /**
     * Creates an empty pool.
     *
     * @param loop the event loop on which everything runs
     * @param clock returns the current time
     * @param singleFields names, in lower case, of the fields that a response has at most once, beside those of HTTP;
     *     a response that has one of them twice is malformed
     * @param onResponse receives the head of each response, before the listener of the request
     */
    public HttpConnectionPool(
            EventLoop loop,
            Supplier<MonotonicTime> clock,
            Set<String> singleFields,
            BiConsumer<Target, HttpResponse> onResponse) {
        this.loop = loop;
        this.clock = clock;
        this.singleFields = singleFields;
        this.onResponse = onResponse;
    }

    /**
     * Sends a request that is not repeated.
     *
     * @param target the process to which it is sent
     * @param request the request, which is released
     * @param options how connections are opened and reused
     * @param listener receives the response
     * @return the exchange, by which the request can be cancelled
     */
    public HttpExchange send(
            Target target, FullHttpRequest request, ConnectionOptions options, ResponseListener listener) {
        return send(target, "", request, options, listener);
    }

    /**
     * Sends a request that may be sent again under the same identifier. A connection that carried one attempt is not
     * used for a further one.
     *
     * @param target the process to which it is sent
     * @param identifier identifies the request and all its attempts
     * @param request the request, which is released
     * @param options how connections are opened and reused
     * @param listener receives the response
     * @return the exchange, by which the request can be cancelled
     */
    public HttpExchange send(
            Target target,
            String identifier,
            FullHttpRequest request,
            ConnectionOptions options,
            ResponseListener listener) {
        HttpExchange exchange = new HttpExchange(identifier, request, listener);
        // The response to HEAD has no body whatever its length, so copies of other responses could not be told from it.
        HttpConnection reused =
                request.method().equals(HttpMethod.HEAD) ? null : takeIdle(target, identifier, options.maximumIdle());
        if (reused == null) {
            connect(target, options, exchange);
        } else {
            reused.start(exchange);
        }
        return exchange;
    }

    private HttpConnection takeIdle(Target target, String identifier, Duration maximumIdle) {
        MonotonicTime now = clock.get();
        for (HttpConnection found : lastUsedFirst(target)) {
            boolean isUsable = found.isOpen() && isFresh(found, maximumIdle, now);
            if (!isUsable || found.mayCarry(identifier)) {
                remove(found);
            }
            if (!isUsable) {
                found.close();
            } else if (found.mayCarry(identifier)) {
                return found;
            }
        }
        return null;
    }

    private List<HttpConnection> lastUsedFirst(Target target) {
        List<HttpConnection> connections = new ArrayList<>(idle.getOrDefault(target, EMPTY));
        Collections.reverse(connections);
        return connections;
    }

    private static Duration maximumReusableIdle(HttpConnection connection) {
        return connection.keepAlive().minus(KEEP_ALIVE_MARGIN);
    }

    private static Duration min(Duration one, Duration other) {
        return one.compareTo(other) < 0 ? one : other;
    }

    /**
     * Returns whether a request to a target would be sent on an open connection.
     *
     * @param target the process to which it is sent
     * @param identifier identifies the request
     * @param maximumIdle longest time that the connection may have been idle
     * @return false if a connection has to be opened
     */
    public boolean hasReusable(Target target, String identifier, Duration maximumIdle) {
        MonotonicTime now = clock.get();
        return idle.getOrDefault(target, EMPTY).stream()
                .anyMatch(connection -> connection.isOpen()
                        && isFresh(connection, maximumIdle, now)
                        && connection.mayCarry(identifier));
    }

    private static boolean isFresh(HttpConnection connection, Duration maximumIdle, MonotonicTime now) {
        return connection.idleTime(now).compareTo(min(maximumIdle, maximumReusableIdle(connection))) < 0;
    }

    /**
     * Opens a connection without a request, for later ones.
     *
     * @param target the process to which it is opened
     * @param options how the connection is opened
     * @param onOpened called once it is open
     * @param onFailure called if it can't be opened
     */
    public void open(Target target, ConnectionOptions options, Runnable onOpened, Consumer<ExchangeFailure> onFailure) {
        connect(target, options).addListener((ChannelFuture connected) -> {
            if (connected.isSuccess()) {
                release(connected.channel().pipeline().get(HttpConnection.class));
                onOpened.run();
            } else {
                onFailure.accept(failure(connected));
            }
        });
    }

    private static ExchangeFailure failure(ChannelFuture connected) {
        return connected.cause() instanceof ConnectTimeoutException
                ? ExchangeFailure.CONNECT_TIMED_OUT
                : ExchangeFailure.NOT_SENT;
    }

    private ChannelFuture connect(Target target, ConnectionOptions options) {
        openedConnections++;
        long number = openedConnections;
        Transport transport = Transport.of(loop);
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(transport.clientChannel())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        options.connectTimeout().toMillis())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        ResponseDecoder decoder = new ResponseDecoder(
                                MAXIMUM_LINE_BYTES, MAXIMUM_HEADER_BYTES, MAXIMUM_CHUNK_BYTES, singleFields);
                        channel.pipeline()
                                .addLast(new HttpRequestEncoder())
                                .addLast(decoder)
                                .addLast(new HttpConnection(HttpConnectionPool.this, target, number, decoder));
                    }
                });
        transport.limitUnacknowledgedTime(bootstrap, options.unacknowledgedTimeout());
        return bootstrap.connect(target.address());
    }

    private void connect(Target target, ConnectionOptions options, HttpExchange exchange) {
        connect(target, options).addListener((ChannelFuture connected) -> {
            if (!connected.isSuccess()) {
                exchange.fail(
                        failure(connected), String.valueOf(connected.cause().getMessage()));
                return;
            }
            HttpConnection connection = connected.channel().pipeline().get(HttpConnection.class);
            // A late event loop may have yet to read, from another socket, that the caller has left.
            SocketLook.thenRun(loop, () -> startOn(connection, options, exchange));
        });
    }

    private void startOn(HttpConnection connection, ConnectionOptions options, HttpExchange exchange) {
        if (!connection.isOpen()) {
            exchange.fail(ExchangeFailure.NOT_SENT, "the connection was closed before the request was sent");
        } else if (exchange.isEnded() || options.isTooLate(clock.get())) {
            release(connection);
        } else {
            connection.start(exchange);
        }
    }

    MonotonicTime now() {
        return clock.get();
    }

    void notifyResponse(Target target, HttpResponse head) {
        onResponse.accept(target, head);
    }

    void release(HttpConnection connection) {
        connection.markIdle(clock.get());
        idle.computeIfAbsent(connection.target(), target -> new ArrayDeque<>()).addLast(connection);
    }

    void remove(HttpConnection connection) {
        Deque<HttpConnection> connections = idle.get(connection.target());
        if (connections != null) {
            connections.remove(connection);
            if (connections.isEmpty()) {
                idle.remove(connection.target());
            }
        }
    }

    /**
     * Closes connections that have been idle for too long.
     *
     * @param now the current time
     */
    public void closeIdle(MonotonicTime now) {
        for (Deque<HttpConnection> connections : idle.values().stream().toList()) {
            for (Iterator<HttpConnection> each = connections.iterator(); each.hasNext(); ) {
                HttpConnection connection = each.next();
                if (connection.idleTime(now).compareTo(maximumReusableIdle(connection)) >= 0) {
                    each.remove();
                    connection.close();
                }
            }
        }
        idle.values().removeIf(Deque::isEmpty);
    }

    /**
     * Returns the number of connections that were opened.
     *
     * @return the number since the pool was created
     */
    public long openedConnections() {
        return openedConnections;
    }
}
