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
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
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

    /** Longer than callers' connections may be idle, and than a caller may take nothing of a response. */
    private static final Duration LONG_PAUSE = Duration.ofSeconds(61);

    /** Shorter than a caller may take nothing of a response. */
    private static final Duration SHORT_PAUSE = Duration.ofSeconds(29);

    private final EventLoop loop = Transport.newEventLoop();
    private final CallerServer server =
            new CallerServer(loop, MonotonicTime::read, () -> CallerLimits.DEFAULTS, Set.of(), this::handle);
    private final Socket caller = new Socket();
    private final AtomicInteger handled = new AtomicInteger();
    private final CountDownLatch sent = new CountDownLatch(1);
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
        handled.incrementAndGet();
        if (request.head().uri().equals("/parts")) {
            response.begin(OK, new DefaultHttpHeaders());
            response.sendChunk(Unpooled.wrappedBuffer(new byte[RESPONSE_BYTES]));
            response.endThen(sent::countDown);
        } else {
            response.sendFull(OK, new DefaultHttpHeaders(), Unpooled.wrappedBuffer(new byte[RESPONSE_BYTES]));
        }
        return () -> {};
    }

    private void send(String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Sends a request, reads the head of the response and waits until the server can't write any more. */
    private void request(String path, String connection) throws Exception {
        send(requestHead(path, connection));
        StringBuilder head = new StringBuilder();
        while (head.indexOf(END_OF_HEAD) < 0) {
            int next = caller.getInputStream().read();
            assertThat(next).isNotNegative();
            head.append((char) next);
        }
        awaitStandstill();
        assertThat(onLoop(server::unsentBytes)).isPositive();
    }

    private static String requestHead(String path, String connection) {
        return "GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: " + connection + END_OF_HEAD;
    }

    private void awaitStandstill() throws InterruptedException {
        long before = -1;
        for (long unsent = onLoop(server::unsentBytes); unsent != before; unsent = onLoop(server::unsentBytes)) {
            before = unsent;
            TimeUnit.MILLISECONDS.sleep(200);
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

    private void closeTimedOutAfter(Duration pause) {
        now = now.plus(pause);
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
            request("/", connection);

            assertThat(onLoop(server::runningRequests)).isEqualTo(1);

            assertThat(read(RESPONSE_BYTES)).isEqualTo(RESPONSE_BYTES);
            awaitNoneRunning();
            assertThat(onLoop(server::unsentBytes)).isZero();
        }

        @Test
        void should_be_reported_as_sent_when_the_caller_has_taken_them() throws Exception {
            request("/parts", "keep-alive");
            assertThat(sent.getCount()).isEqualTo(1);

            assertThat(read(RESPONSE_BYTES)).isEqualTo(RESPONSE_BYTES);

            assertThat(sent.await(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)).isTrue();
        }

        @Test
        void should_be_reported_as_sent_when_the_caller_has_left() throws Exception {
            request("/parts", "keep-alive");

            caller.close();

            assertThat(sent.await(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)).isTrue();
        }

        @Test
        void should_not_be_cut_when_idle_connections_are_closed() throws Exception {
            request("/", "keep-alive");

            loop.submit(server::closeIdle).syncUninterruptibly();

            assertThat(read(RESPONSE_BYTES)).isEqualTo(RESPONSE_BYTES);
        }

        @ParameterizedTest
        @ValueSource(strings = {"keep-alive", "close"})
        void should_not_be_cut_as_idle_while_the_caller_takes_them(String connection) throws Exception {
            request("/", connection);
            closeTimedOutAfter(SHORT_PAUSE);

            for (int received = 0; received < RESPONSE_BYTES; received += READ_AT_ONCE_BYTES) {
                closeTimedOutAfter(SHORT_PAUSE);
                closeTimedOutAfter(SHORT_PAUSE);
                assertThat(read(READ_AT_ONCE_BYTES)).isEqualTo(READ_AT_ONCE_BYTES);
                awaitStandstill();
                closeTimedOutAfter(SHORT_PAUSE);
            }
        }

        @ParameterizedTest
        @ValueSource(strings = {"keep-alive", "close"})
        void should_be_cut_when_the_caller_takes_nothing_for_long(String connection) throws Exception {
            request("/", connection);

            closeTimedOutAfter(LONG_PAUSE);
            closeTimedOutAfter(LONG_PAUSE);

            awaitNoneRunning();
            assertThat(onLoop(server::openConnections)).isZero();
        }

        @ParameterizedTest
        @ValueSource(strings = {"G", "no request\r\n\r\n"})
        void should_be_cut_when_the_caller_sends_more_but_takes_nothing_for_long(String further) throws Exception {
            request("/", "keep-alive");

            closeTimedOutAfter(SHORT_PAUSE);
            send(further);
            awaitStandstill();
            closeTimedOutAfter(LONG_PAUSE);
            closeTimedOutAfter(LONG_PAUSE);

            awaitNoneRunning();
            assertThat(onLoop(server::openConnections)).isZero();
        }
    }

    @Nested
    class PipelinedRequests {

        /** Guards against responses that pile up in the memory for a caller that doesn't read. */
        @Test
        void should_wait_until_the_caller_has_taken_the_response_to_an_earlier_one() throws Exception {
            request("/", "keep-alive");
            send(requestHead("/", "keep-alive") + requestHead("/", "close"));
            awaitStandstill();

            assertThat(handled).hasValue(1);

            assertThat(caller.getInputStream().readAllBytes()).hasSizeGreaterThan(3 * RESPONSE_BYTES);
            assertThat(handled).hasValue(3);
        }
    }
}
