package org.pollenhoist.serving.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.epoll.EpollEventLoopGroup;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.catalog.CallerLimits;

/** Tests which requests a server takes up that has read them late. */
class AbandonedRequestTest {

    private static final int OK = 200;

    private final EpollEventLoopGroup group = new EpollEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final List<String> handled = new CopyOnWriteArrayList<>();
    private final CallerServer server =
            new CallerServer(loop, MonotonicTime::read, () -> CallerLimits.DEFAULTS, Set.of(), this::handle);
    private InetSocketAddress address;
    private volatile Runnable duringSlowRequest = () -> {};

    @BeforeEach
    void listen() {
        address = (InetSocketAddress) server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel()
                .localAddress();
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private Runnable handle(IncomingRequest request, CallerResponse response) {
        handled.add(request.head().uri());
        if (request.head().uri().equals("/slow")) {
            duringSlowRequest.run();
        }
        request.body().release();
        response.sendFull(OK, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
        return () -> {};
    }

    private Socket connect() throws IOException, InterruptedException {
        int openBefore = server.openConnections();
        Socket socket = new Socket(address.getAddress(), address.getPort());
        while (loop.submit(server::openConnections).syncUninterruptibly().getNow() == openBefore) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        return socket;
    }

    private static void send(Socket socket, String... paths) throws IOException {
        for (String path : paths) {
            String request = "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        }
    }

    /** Lets the event loop stand still while callers act, then waits until it has read all that they did. */
    private void whileStandingStill(Action action) throws IOException, InterruptedException {
        CountDownLatch begin = new CountDownLatch(1);
        CountDownLatch end = new CountDownLatch(1);
        loop.execute(() -> {
            begin.countDown();
            await(end);
        });
        begin.await();
        action.run();
        end.countDown();
        try (Socket last = new Socket(address.getAddress(), address.getPort())) {
            send(last, "/last");
            assertThat(last.getInputStream().read()).isNotNegative();
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private interface Action {
        void run() throws IOException;
    }

    @Nested
    class WhenTheEventLoopWasLate {

        @Test
        void should_not_take_up_requests_whose_callers_have_left() throws IOException, InterruptedException {
            Socket closed = connect();
            Socket reset = connect();
            Socket pipelining = connect();

            whileStandingStill(() -> {
                send(closed, "/closed");
                closed.close();
                send(reset, "/reset");
                reset.setSoLinger(true, 0);
                reset.close();
                send(pipelining, "/first", "/second");
                pipelining.close();
            });

            assertThat(handled).containsExactly("/last");
        }

        @Test
        void should_take_up_requests_whose_callers_wait_in_their_order() throws IOException, InterruptedException {
            try (Socket waiting = connect()) {
                whileStandingStill(() -> send(waiting, "/first", "/second"));

                assertThat(handled).containsExactly("/first", "/second", "/last");
            }
        }

        @Test
        void should_take_up_as_many_pipelined_requests_as_one_that_is_served_and_those_that_may_wait()
                throws IOException, InterruptedException {
            String[] paths =
                    IntStream.rangeClosed(1, 9).mapToObj(number -> "/" + number).toArray(String[]::new);
            try (Socket waiting = connect()) {
                whileStandingStill(() -> send(waiting, paths));

                assertThat(handled).startsWith(paths).hasSize(paths.length + 1);
            }
        }

        @Test
        void should_not_ask_for_the_body_of_a_request_before_the_response_to_an_earlier_one()
                throws IOException, InterruptedException {
            try (Socket waiting = connect()) {
                whileStandingStill(() -> {
                    send(waiting, "/first");
                    String expecting = "POST /second HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
                            + "Expect: 100-continue\r\n\r\nok";
                    waiting.getOutputStream().write(expecting.getBytes(StandardCharsets.US_ASCII));
                });

                byte[] status = waiting.getInputStream().readNBytes("HTTP/1.1 200".length());
                assertThat(new String(status, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 200");
            }
        }
    }

    @Nested
    class WhileOthersAreTakenUp {

        /** Longer than requests are taken up before the event loop looks at its sockets again. */
        private static final Duration SLOW = Duration.ofMillis(100);

        private void takeLong() {
            try {
                TimeUnit.NANOSECONDS.sleep(SLOW.toNanos());
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }

        /** Guards against work for callers that leave while a late event loop takes up requests read before theirs. */
        @Test
        void should_not_take_up_a_request_whose_caller_leaves_meanwhile() throws IOException, InterruptedException {
            Socket slow = connect();
            Socket leaving = connect();
            duringSlowRequest = () -> {
                closeQuietly(leaving);
                takeLong();
            };

            whileStandingStill(() -> {
                send(slow, "/slow");
                send(leaving, "/left");
            });

            assertThat(handled).containsExactly("/slow", "/last");
            slow.close();
        }

        /** Guards against changes of the configuration that wait behind all requests of a late event loop. */
        @Test
        void should_read_what_comes_from_others_before_the_next_request() throws IOException, InterruptedException {
            try (ServerSocket other = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                    Socket slow = connect();
                    Socket next = connect()) {
                connectLoopTo(other);
                Socket sender = other.accept();
                duringSlowRequest = () -> {
                    sendQuietly(sender);
                    takeLong();
                };

                whileStandingStill(() -> {
                    send(slow, "/slow");
                    send(next, "/next");
                });

                assertThat(handled).containsExactly("/slow", "change", "/next", "/last");
                sender.close();
            }
        }

        @Test
        void should_take_up_all_requests_after_one_whose_handling_fails() throws IOException, InterruptedException {
            duringSlowRequest = () -> {
                throw new IllegalStateException("handling failed");
            };
            try (Socket slow = connect();
                    Socket next = connect()) {
                whileStandingStill(() -> {
                    send(slow, "/slow");
                    send(next, "/next");
                });

                assertThat(handled).containsExactly("/slow", "/next", "/last");
            }
        }

        private void connectLoopTo(ServerSocket other) {
            new Bootstrap()
                    .group(loop)
                    .channel(EpollSocketChannel.class)
                    .handler(new ChannelInboundHandlerAdapter() {
                        @Override
                        public void channelRead(ChannelHandlerContext context, Object message) {
                            ReferenceCountUtil.release(message);
                            handled.add("change");
                        }
                    })
                    .connect(other.getLocalSocketAddress())
                    .syncUninterruptibly();
        }

        private static void closeQuietly(Socket socket) {
            try {
                socket.close();
            } catch (IOException failure) {
                throw new UncheckedIOException(failure);
            }
        }

        private static void sendQuietly(Socket socket) {
            try {
                socket.getOutputStream().write(1);
            } catch (IOException failure) {
                throw new UncheckedIOException(failure);
            }
        }
    }
}
