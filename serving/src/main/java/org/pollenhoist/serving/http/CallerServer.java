package org.pollenhoist.serving.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Supplier;
import org.pollenhoist.caller.RequestGuard;
import org.pollenhoist.caller.StrictRequestDecoder;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.catalog.CallerLimits;
import org.pollenhoist.serving.transport.Transport;

/** The HTTP server that accepts callers' connections. Confined to the event loop. */
public final class CallerServer {

    private static final int MAXIMUM_LINE_BYTES = 8_192;
    private static final int MAXIMUM_CHUNK_BYTES = 65_536;

    /** Number of connections that may wait to be accepted; beyond it the operating system delays callers by seconds. */
    private static final int BACKLOG = 1_024;

    private final EventLoop loop;
    private final Supplier<MonotonicTime> clock;
    private final Supplier<CallerLimits> limits;
    private final Set<String> singleFields;
    private final CallerListener listener;
    private final HeaderMemoryBudget headerMemory;
    private final RequestIntake intake;
    private final Set<CallerConnection> connections = new LinkedHashSet<>();
    private boolean isStopping;

    /**
     * Creates a server that doesn't listen yet.
     *
     * @param loop the event loop on which everything runs
     * @param clock returns the current time
     * @param limits returns the current limits on callers' requests
     * @param singleFields names of the fields that a request has at most once, beside those of HTTP
     * @param listener receives the requests
     */
    public CallerServer(
            EventLoop loop,
            Supplier<MonotonicTime> clock,
            Supplier<CallerLimits> limits,
            Set<String> singleFields,
            CallerListener listener) {
        this(
                loop,
                clock,
                limits,
                singleFields,
                listener,
                HeaderMemoryBudget.ofHeap(Runtime.getRuntime().maxMemory()),
                new RequestIntake(loop, clock));
    }

    private CallerServer(
            EventLoop loop,
            Supplier<MonotonicTime> clock,
            Supplier<CallerLimits> limits,
            Set<String> singleFields,
            CallerListener listener,
            HeaderMemoryBudget headerMemory,
            RequestIntake intake) {
        this.loop = loop;
        this.clock = clock;
        this.limits = limits;
        this.singleFields = singleFields;
        this.listener = listener;
        this.headerMemory = headerMemory;
        this.intake = intake;
    }

    /**
     * Creates a further server of the same process, which doesn't listen yet. Both share the memory for headers
     * and the time in which requests are taken up.
     *
     * @param otherLimits returns the current limits on the requests of its callers
     * @param otherSingleFields names of the fields that such a request has at most once, beside those of HTTP
     * @param otherListener receives the requests
     * @return the server
     */
    public CallerServer beside(
            Supplier<CallerLimits> otherLimits, Set<String> otherSingleFields, CallerListener otherListener) {
        return new CallerServer(loop, clock, otherLimits, otherSingleFields, otherListener, headerMemory, intake);
    }

    /**
     * Registers the metrics of the memory for headers.
     *
     * @param registry the registry of this process
     */
    public void register(PrometheusRegistry registry) {
        GaugeWithCallback.builder()
                .name("pollenhoist_header_memory_bytes")
                .help("Memory of the heads of all requests that are being read, waiting or running.")
                .callback(gauge -> gauge.call((double) headerMemory.usedBytes()))
                .register(registry);
        CounterWithCallback.builder()
                .name("pollenhoist_header_memory_connections_closed_total")
                .help("Connections that were closed since the heads of all requests needed too much memory.")
                .callback(counter -> counter.call((double) headerMemory.connectionsGivenUp()))
                .register(registry);
    }

    /**
     * Starts to listen.
     *
     * @param address the address to listen on
     * @return completes once the server listens
     */
    public ChannelFuture listen(InetSocketAddress address) {
        return new ServerBootstrap()
                .group(loop)
                .channel(Transport.of(loop).serverChannel())
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        prepare(channel);
                    }
                })
                .bind(address);
    }

    private void prepare(Channel channel) {
        CallerLimits currentLimits = limits.get();
        StrictRequestDecoder decoder =
                new StrictRequestDecoder(MAXIMUM_LINE_BYTES, currentLimits.headerBytes(), MAXIMUM_CHUNK_BYTES);
        channel.pipeline()
                .addLast(new HttpResponseEncoder())
                .addLast(decoder)
                .addLast(new RequestGuard(decoder, singleFields))
                .addLast(new CallerConnection(this, decoder));
    }

    CallerListener listener() {
        return listener;
    }

    HeaderMemoryBudget headerMemory() {
        return headerMemory;
    }

    RequestIntake intake() {
        return intake;
    }

    CallerLimits limits() {
        return limits.get();
    }

    MonotonicTime now() {
        return clock.get();
    }

    boolean isStopping() {
        return isStopping;
    }

    void opened(CallerConnection connection) {
        connections.add(connection);
    }

    void closed(CallerConnection connection) {
        connections.remove(connection);
    }

    /**
     * Closes connections that have been idle for too long, those whose request doesn't arrive in time, and those whose
     * callers take nothing of a response for too long.
     *
     * @param now the current time
     */
    public void closeTimedOut(MonotonicTime now) {
        connections.stream().toList().forEach(connection -> connection.closeIfTimedOut(now));
    }

    /**
     * Closes connections whose callers take nothing of a response for too long.
     *
     * @param now the current time
     */
    public void closeStalled(MonotonicTime now) {
        connections.stream().toList().forEach(connection -> connection.closeIfStalled(now));
    }

    /** Begins to shut the server down: from now on, each connection is closed after its next response. */
    public void stop() {
        isStopping = true;
    }

    /**
     * Closes the connections on which no request is being read or served and no response is being sent. A request that
     * a caller sends while its connection is being closed is not read, so the caller may send it again.
     */
    public void closeIdle() {
        connections.stream().toList().forEach(CallerConnection::closeIfIdle);
    }

    /**
     * Returns the number of connections on which a request is being read or served, or a response is being sent.
     *
     * @return the count
     */
    public int runningRequests() {
        return (int) connections.stream().filter(CallerConnection::isBusy).count();
    }

    /**
     * Returns the number of bytes of responses that callers have not taken yet, beyond those in the sockets' buffers.
     *
     * @return the number of bytes
     */
    public long unsentBytes() {
        return connections.stream().mapToLong(CallerConnection::unsentBytes).sum();
    }

    /**
     * Returns the number of open connections.
     *
     * @return the count
     */
    public int openConnections() {
        return connections.size();
    }
}
