package org.pollenhoist.serving.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;

/** An HTTP client that buffers each response and delivers it when it is complete. Confined to the event loop. */
public final class BufferedHttpClient {

    private static final DecisionLog LOG = DecisionLog.of("connection");

    /** Maximum size of the body of a response, in bytes. */
    private static final int MAXIMUM_RESPONSE_BYTES = 8 << 20;

    /** Shortest time between the head and the end of a response that is logged. */
    private static final Duration LOGGED_TRANSFER = Duration.ofMillis(200);

    /** The result of a call. */
    public sealed interface Result {

        /**
         * A complete response was received. The name of the record appears in logs.
         *
         * @param status its status code
         * @param headers its header fields
         * @param body its body
         */
        @SuppressWarnings("ArrayRecordComponent")
        record Answered(int status, HttpHeaders headers, byte[] body) implements Result {}

        /**
         * No complete response was received in time.
         *
         * @param isSent whether the other end may have received the request
         * @param reason the failure that was observed
         */
        record Failed(boolean isSent, String reason) implements Result {}
    }

    private final EventLoop loop;
    private final HttpConnectionPool connections;

    /**
     * Creates a client that uses the connections of a pool.
     *
     * @param loop the event loop
     * @param connections the pool
     */
    public BufferedHttpClient(EventLoop loop, HttpConnectionPool connections) {
        this.loop = loop;
        this.connections = connections;
    }

    /**
     * Sends a request to a process that responds once to each request.
     *
     * @param target the process to call
     * @param request the request, which is released
     * @param timeout the longest time until the result
     * @param callback receives the result, exactly once
     */
    public void call(Target target, FullHttpRequest request, Duration timeout, Consumer<Result> callback) {
        call(target, request, timeout, head -> true, callback);
    }

    /**
     * Sends a request to a process that may write responses to earlier requests once more, late.
     *
     * @param target the process to call
     * @param request the request, which is released
     * @param timeout the longest time until the result
     * @param isExpected whether a response can be one to this request; others are skipped
     * @param callback receives the result, exactly once
     */
    public void call(
            Target target,
            FullHttpRequest request,
            Duration timeout,
            Predicate<HttpResponse> isExpected,
            Consumer<Result> callback) {
        ResponseBuffer buffer = send(target, request, isExpected, callback);
        buffer.giveUpAfter(timeout);
    }

    /**
     * Sends a request whose response may be large, to a process that responds once to each request.
     *
     * @param target the process to call
     * @param request the request, which is released
     * @param timeout when the call is given up
     * @param callback receives the result, exactly once
     */
    public void call(Target target, FullHttpRequest request, ResponseTimeout timeout, Consumer<Result> callback) {
        ResponseBuffer buffer = send(target, request, head -> true, callback);
        buffer.giveUpWithoutProgress(timeout);
    }

    private ResponseBuffer send(
            Target target, FullHttpRequest request, Predicate<HttpResponse> isExpected, Consumer<Result> callback) {
        ResponseBuffer buffer = new ResponseBuffer(target, isExpected, callback);
        buffer.exchange = connections.send(target, request, ConnectionOptions.ANY_IDLE, buffer);
        return buffer;
    }

    private final class ResponseBuffer implements ResponseListener {

        private final Target target;
        private final Predicate<HttpResponse> isExpected;
        private final Consumer<Result> callback;
        private final ByteBuf body = Unpooled.buffer();
        private HttpExchange exchange;
        private ScheduledFuture<?> timer;
        private int status;
        private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;
        private Optional<MonotonicTime> begunAt = Optional.empty();
        private Optional<Duration> progressPeriod = Optional.empty();
        private boolean isComplete;

        private ResponseBuffer(Target target, Predicate<HttpResponse> isExpected, Consumer<Result> callback) {
            this.target = target;
            this.isExpected = isExpected;
            this.callback = callback;
        }

        @Override
        public boolean onHead(HttpResponse head, ConnectionUse use) {
            if (!isExpected.test(head)) {
                LOG.event(
                        "foreign_answer",
                        "status",
                        head.status().code(),
                        "connection",
                        use.connection(),
                        "earlier_exchanges",
                        use.earlierExchanges(),
                        "skipped",
                        use.skippedResponses());
                return false;
            }
            status = head.status().code();
            headers = head.headers();
            begunAt = Optional.of(connections.now());
            progressPeriod.ifPresent(this::awaitProgress);
            return true;
        }

        private void giveUpAfter(Duration timeout) {
            schedule(timeout, () -> giveUp(describeReceived() + " within " + timeout.toMillis() + " ms"));
        }

        private void giveUpWithoutProgress(ResponseTimeout timeout) {
            progressPeriod = Optional.of(timeout.progress());
            schedule(timeout.beginning(), () -> {
                if (begunAt.isEmpty()) {
                    giveUp("no response within " + timeout.beginning().toMillis() + " ms");
                }
            });
        }

        private void awaitProgress(Duration period) {
            int before = body.readableBytes();
            schedule(period, () -> {
                if (body.readableBytes() - before >= ResponseTimeout.MINIMUM_BYTES) {
                    awaitProgress(period);
                } else {
                    giveUp(describeReceived() + " of them " + (body.readableBytes() - before) + " in the last "
                            + period.toMillis() + " ms");
                }
            });
        }

        private void schedule(Duration delay, Runnable action) {
            cancelTimer();
            if (!isComplete) {
                // A late event loop may have yet to read what has come in time.
                timer = loop.schedule(
                        () -> SocketLook.thenRun(loop, () -> runUnlessComplete(action)),
                        delay.toMillis(),
                        TimeUnit.MILLISECONDS);
            }
        }

        private void runUnlessComplete(Runnable action) {
            if (!isComplete) {
                action.run();
            }
        }

        private void cancelTimer() {
            if (timer != null) {
                timer.cancel(false);
            }
        }

        private String describeReceived() {
            return begunAt.isPresent() ? "incomplete response, " + body.readableBytes() + " bytes," : "no response";
        }

        private void giveUp(String reason) {
            boolean isSent = exchange.isSent();
            exchange.cancel();
            complete(new Result.Failed(isSent, reason));
        }

        @Override
        public void onBody(ByteBuf chunk) {
            if (body.readableBytes() + chunk.readableBytes() > MAXIMUM_RESPONSE_BYTES) {
                exchange.cancel();
                complete(new Result.Failed(true, "response larger than " + MAXIMUM_RESPONSE_BYTES + " bytes"));
                return;
            }
            body.writeBytes(chunk);
        }

        @Override
        public void onEnd() {
            begunAt.ifPresent(this::logIfSlow);
            complete(new Result.Answered(status, headers, ByteBufUtil.getBytes(body)));
        }

        private void logIfSlow(MonotonicTime begun) {
            Duration transfer = connections.now().since(begun);
            if (transfer.compareTo(LOGGED_TRANSFER) >= 0) {
                LOG.event(
                        "slow_response",
                        "address",
                        target.address(),
                        "lifetime",
                        target.lifetime(),
                        "bytes",
                        body.readableBytes(),
                        "transfer_ms",
                        transfer.toMillis());
            }
        }

        @Override
        public void onFailure(ExchangeFailure failure, String reason) {
            complete(new Result.Failed(failure.isSent(), reason));
        }

        private void complete(Result completed) {
            if (isComplete) {
                return;
            }
            isComplete = true;
            cancelTimer();
            callback.accept(completed);
        }
    }
}
