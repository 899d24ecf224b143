package org.pollenhoist.serving.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.catalog.CallerLimits;
import org.pollenhoist.serving.transport.Transport;

/** Sends responses to a caller that reads slowly, and that are too long for the buffers of the sockets. */
class SlowReaderTest {

    private static final int OK = 200;
    private static final int RESPONSE_BYTES = 24 << 20;
    /** More than the buffers of the sockets hold. */
    private static final int READ_AT_ONCE_BYTES = 8 << 20;

    private static final int RECEIVE_BUFFER_BYTES = 64 << 10;
    private static final int TIMEOUT_MILLISECONDS = 20_000;
    private static final String END_OF_HEAD = "\r\n\r\n";

    /** Longer than callers' connections may be idle. */
    private static final Duration LONG_PAUSE =
            CallerLimits.DEFAULTS.idleTimeout().plusSeconds(1);

    private final EventLoop loop = Transport.newEventLoop();
    private final CallerServer server =
            new CallerServer(loop, MonotonicTime::read, () -> CallerLimits.DEFAULTS, this::handle);
    private final Socket caller = new Socket();
    private MonotonicTime now = MonotonicTime.read();

    @BeforeEach
    void connect() throws IOException {
        InetSocketAddress address =
                (InetSocketAddress) server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .syncUninterruptibly()
                        .channel()
                        .localAddress();
        caller.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        caller.setSoTimeout(TIMEOUT_MILLISECONDS);
        caller.connect(address);
    }

    @AfterEach
    void stop() throws IOException {
        caller.close();
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private Runnable handle(IncomingRequest request, CallerResponse response) {
        request.body().release();
        response.sendFull(OK, new DefaultHttpHeaders(), Unpooled.wrappedBuffer(new byte[RESPONSE_BYTES]));
        return () -> {};
    }

    /** Sends a request and reads the head of the response. */
    private void request(String connection) throws IOException {
        String request = "GET / HTTP/1.1\r\nHost: a\r\nConnection: " + connection + END_OF_HEAD;
        caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        StringBuilder head = new StringBuilder();
        while (head.indexOf(END_OF_HEAD) < 0) {
            head.append((char) caller.getInputStream().read());
        }
    }

    /** Reads up to a number of bytes of the body and returns how many came. */
    private int read(int bytes) throws IOException {
        InputStream input = caller.getInputStream();
        return input.readNBytes(bytes).length;
    }

    private <T> T onLoop(Callable<T> action) {
        return loop.submit(action).syncUninterruptibly().getNow();
    }

    private void closeTimedOutAfterLongPause() {
        now = now.plus(LONG_PAUSE);
        MonotonicTime later = now;
        loop.submit(() -> server.closeTimedOut(later)).syncUninterruptibly();
    }

    private void awaitNoneRunning() throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLISECONDS);
        while (onLoop(server::runningRequests) > 0 && System.nanoTime() < deadline) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        assertThat(onLoop(server::runningRequests)).isZero();
    }

    @Nested
    class Responses {

        /** Guards against a process that stops while a caller still receives a response. */
        @ParameterizedTest
        @ValueSource(strings = {"keep-alive", "close"})
        void should_count_as_running_until_the_caller_has_taken_them(String connection) throws Exception {
            request(connection);

            assertThat(onLoop(server::runningRequests)).isEqualTo(1);
            assertThat(onLoop(server::unsentBytes)).isPositive();

            assertThat(read(RESPONSE_BYTES)).isEqualTo(RESPONSE_BYTES);
            awaitNoneRunning();
            assertThat(onLoop(server::unsentBytes)).isZero();
        }

        @Test
        void should_not_be_cut_when_idle_connections_are_closed() throws Exception {
            request("keep-alive");

            loop.submit(server::closeIdle).syncUninterruptibly();

            assertThat(read(RESPONSE_BYTES)).isEqualTo(RESPONSE_BYTES);
        }

        @Test
        void should_not_be_cut_as_idle_while_the_caller_takes_them() throws Exception {
            request("keep-alive");
            closeTimedOutAfterLongPause();

            int received = 0;
            while (received < RESPONSE_BYTES) {
                int read = read(READ_AT_ONCE_BYTES);
                assertThat(read).isEqualTo(READ_AT_ONCE_BYTES);
                received += read;
                closeTimedOutAfterLongPause();
            }
        }

        @ParameterizedTest
        @ValueSource(strings = {"keep-alive", "close"})
        void should_be_cut_when_the_caller_takes_nothing_for_the_time_that_connections_may_be_idle(String connection)
                throws Exception {
            request(connection);
            awaitStandstill();

            closeTimedOutAfterLongPause();
            closeTimedOutAfterLongPause();

            awaitNoneRunning();
            assertThat(onLoop(server::openConnections)).isZero();
        }

        private void awaitStandstill() throws InterruptedException {
            long before = -1;
            for (long unsent = onLoop(server::unsentBytes); unsent != before; unsent = onLoop(server::unsentBytes)) {
                before = unsent;
                TimeUnit.MILLISECONDS.sleep(50);
            }
        }
    }
}
