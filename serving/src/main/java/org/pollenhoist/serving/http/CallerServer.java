package org.pollenhoist.serving.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Supplier;
import org.pollenhoist.caller.RequestGuard;
import org.pollenhoist.caller.StrictRequestDecoder;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.catalog.CallerLimits;

/** Listens for callers. Confined to the event loop. */
public final class CallerServer {

    private static final int MAXIMUM_LINE_BYTES = 8_192;
    private static final int MAXIMUM_CHUNK_BYTES = 65_536;

    /** Connections that wait to be accepted; beyond them callers are put off for seconds by the system. */
    private static final int BACKLOG = 1_024;

    private final EventLoop loop;
    private final Supplier<MonotonicTime> clock;
    private final Supplier<CallerLimits> limits;
    private final CallerListener listener;
    private final Set<CallerConnection> connections = new LinkedHashSet<>();
    private boolean isStopping;

    /**
     * Creates a server that does not listen yet.
     *
     * @param loop the event loop on which everything runs
     * @param clock reads the present time
     * @param limits what callers may send now
     * @param listener receives the requests
     */
    public CallerServer(
            EventLoop loop, Supplier<MonotonicTime> clock, Supplier<CallerLimits> limits, CallerListener listener) {
        this.loop = loop;
        this.clock = clock;
        this.limits = limits;
        this.listener = listener;
    }

    /**
     * Begins to listen.
     *
     * @param address the address
     * @return completes once the server listens
     */
    public ChannelFuture listen(InetSocketAddress address) {
        return new ServerBootstrap()
                .group(loop)
                .channel(EpollServerSocketChannel.class)
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
        CallerLimits now = limits.get();
        StrictRequestDecoder decoder =
                new StrictRequestDecoder(MAXIMUM_LINE_BYTES, now.headerBytes(), MAXIMUM_CHUNK_BYTES);
        channel.pipeline()
                .addLast(new HttpResponseEncoder())
                .addLast(decoder)
                .addLast(new RequestGuard(decoder))
                .addLast(new CallerConnection(this, decoder));
    }

    CallerListener listener() {
        return listener;
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
     * Closes connections that are idle for too long, and those whose request does not arrive.
     *
     * @param now the present time
     */
    public void closeTimedOut(MonotonicTime now) {
        connections.stream().toList().forEach(connection -> connection.closeIfTimedOut(now));
    }

    /** From now on each connection is closed with its next answer. */
    public void stop() {
        isStopping = true;
    }

    /**
     * Closes the connections on which nothing is being read or answered. A request that crosses the close was not read,
     * so its caller may send it again.
     */
    public void closeIdle() {
        connections.stream().toList().forEach(CallerConnection::closeIfIdle);
    }

    /**
     * Returns how many requests are being read or answered.
     *
     * @return the count
     */
    public int runningRequests() {
        return (int) connections.stream().filter(CallerConnection::isBusy).count();
    }

    /**
     * Returns how many connections are open.
     *
     * @return the count
     */
    public int openConnections() {
        return connections.size();
    }
}
