package org.pollenhoist.serving.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollDatagramChannel;
import io.netty.channel.epoll.EpollEventLoopGroup;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.pollenhoist.common.DecisionLog;

/** The implementation of sockets and event loops. */
public sealed interface Transport {

    /** Linux's epoll through Netty's native library. */
    record NativeEpoll() implements Transport {}

    /** Java's own sockets, for processes that can't load the native library. */
    record JavaSockets() implements Transport {}

    /**
     * Creates an event loop with a thread of its own. It runs on native epoll if the library can be loaded, otherwise
     * on Java's own sockets, which is logged.
     *
     * @return the event loop
     */
    static EventLoop newEventLoop() {
        if (Epoll.isAvailable()) {
            return new EpollEventLoopGroup(1).next();
        }
        DecisionLog.of("node")
                .event(
                        "native_transport_unavailable",
                        "reason",
                        rootCause(Epoll.unavailabilityCause()),
                        "machine",
                        System.getProperty("os.arch"),
                        "used",
                        "java_sockets",
                        "lost",
                        "TCP_USER_TIMEOUT: requests to an upstream that falls silent last until their deadline");
        return new NioEventLoopGroup(1).next();
    }

    /**
     * Closes all channels of an event loop and ends its thread.
     *
     * @param loop an event loop from {@link #newEventLoop()}
     */
    static void shutDown(EventLoop loop) {
        loop.parent().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private static String rootCause(Throwable failure) {
        Throwable cause = failure;
        while (cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause.toString();
    }

    /**
     * Returns the transport of an event loop.
     *
     * @param loop the event loop
     * @return the transport whose channels can be registered with it
     */
    static Transport of(EventLoop loop) {
        return loop.parent() instanceof EpollEventLoopGroup ? new NativeEpoll() : new JavaSockets();
    }

    /**
     * Returns the type of client connections.
     *
     * @return the channel's class
     */
    default Class<? extends SocketChannel> clientChannel() {
        return switch (this) {
            case NativeEpoll epoll -> EpollSocketChannel.class;
            case JavaSockets sockets -> NioSocketChannel.class;
        };
    }

    /**
     * Returns the type of listening sockets.
     *
     * @return the channel's class
     */
    default Class<? extends ServerChannel> serverChannel() {
        return switch (this) {
            case NativeEpoll epoll -> EpollServerSocketChannel.class;
            case JavaSockets sockets -> NioServerSocketChannel.class;
        };
    }

    /**
     * Returns the type of UDP sockets.
     *
     * @return the channel's class
     */
    default Class<? extends DatagramChannel> datagramChannel() {
        return switch (this) {
            case NativeEpoll epoll -> EpollDatagramChannel.class;
            case JavaSockets sockets -> NioDatagramChannel.class;
        };
    }

    /**
     * Limits how long bytes that were sent may remain unacknowledged before the connection is closed. Java's own
     * sockets have no such limit.
     *
     * @param bootstrap opens the connections
     * @param timeout the limit
     */
    default void limitUnacknowledgedTime(Bootstrap bootstrap, Duration timeout) {
        switch (this) {
            case NativeEpoll epoll -> bootstrap.option(EpollChannelOption.TCP_USER_TIMEOUT, (int) timeout.toMillis());
            case JavaSockets sockets -> {}
        }
    }
}
