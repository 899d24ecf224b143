package org.pollenhoist.serving.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Whole calls: a request, and an answer that is gathered before it is handed over. Confined to the event loop. */
public final class BufferedHttpClient {

    /** Largest answer that is gathered, in bytes. */
    private static final int MAXIMUM_ANSWER_BYTES = 8 << 20;

    /** What became of a call. */
    public sealed interface Result {

        /**
         * A whole answer came.
         *
         * @param status its status
         * @param body its body
         */
        @SuppressWarnings("ArrayRecordComponent")
        record Completed(int status, byte[] body) implements Result {}

        /**
         * None came in time.
         *
         * @param isSent whether the other end may have received the request
         * @param reason what was seen
         */
        record Failed(boolean isSent, String reason) implements Result {}
    }

    private final EventLoop loop;
    private final HttpConnectionPool connections;

    /**
     * Creates calls over a pool.
     *
     * @param loop the event loop
     * @param connections the pool
     */
    public BufferedHttpClient(EventLoop loop, HttpConnectionPool connections) {
        this.loop = loop;
        this.connections = connections;
    }

    /**
     * Makes a call.
     *
     * @param target where to
     * @param request the request, which is released
     * @param timeout the longest time until the result
     * @param result receives the result, exactly once
     */
    public void call(Target target, FullHttpRequest request, Duration timeout, Consumer<Result> result) {
        Gatherer gatherer = new Gatherer(result);
        HttpExchange exchange = connections.send(target, request, ConnectionOptions.ANY_IDLE, gatherer);
        gatherer.exchange = exchange;
        gatherer.timer = loop.schedule(
                () -> {
                    boolean isSent = exchange.isSent();
                    exchange.cancel();
                    gatherer.complete(new Result.Failed(isSent, "no answer for " + timeout.toMillis() + " ms"));
                },
                timeout.toMillis(),
                TimeUnit.MILLISECONDS);
        if (gatherer.isComplete) {
            gatherer.timer.cancel(false);
        }
    }

    private static final class Gatherer implements ResponseListener {

        private final Consumer<Result> result;
        private final ByteBuf body = Unpooled.buffer();
        private HttpExchange exchange;
        private ScheduledFuture<?> timer;
        private int status;
        private boolean isComplete;

        private Gatherer(Consumer<Result> result) {
            this.result = result;
        }

        @Override
        public boolean onHead(HttpResponse head) {
            status = head.status().code();
            return true;
        }

        @Override
        public void onBody(ByteBuf part) {
            if (body.readableBytes() + part.readableBytes() > MAXIMUM_ANSWER_BYTES) {
                exchange.cancel();
                complete(new Result.Failed(true, "an answer of more than " + MAXIMUM_ANSWER_BYTES + " bytes"));
                return;
            }
            body.writeBytes(part);
        }

        @Override
        public void onEnd() {
            complete(new Result.Completed(status, ByteBufUtil.getBytes(body)));
        }

        @Override
        public void onFailure(ExchangeFailure failure, String reason) {
            complete(new Result.Failed(failure != ExchangeFailure.NOT_SENT, reason));
        }

        private void complete(Result completed) {
            if (isComplete) {
                return;
            }
            isComplete = true;
            if (timer != null) {
                timer.cancel(false);
            }
            result.accept(completed);
        }
    }
}
