package org.pollenhoist.serving.forwarding;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.http.CallerListener;
import org.pollenhoist.serving.http.CallerResponse;
import org.pollenhoist.serving.http.ConnectionUse;
import org.pollenhoist.serving.http.ExchangeFailure;
import org.pollenhoist.serving.http.HopByHopHeaders;
import org.pollenhoist.serving.http.HttpConnectionPool;
import org.pollenhoist.serving.http.HttpExchange;
import org.pollenhoist.serving.http.IncomingRequest;
import org.pollenhoist.serving.http.ResponseListener;
import org.pollenhoist.serving.request.CallerRequest;
import org.pollenhoist.serving.request.RequestFormat;
import org.pollenhoist.serving.request.ResponseHead;
import org.pollenhoist.serving.request.ResponseLog;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamTable;

/**
 * Sends requests to upstreams for peers that do not reach them. A request is sent over a connection of this VM or not
 * at all, never through a further peer, and is neither repeated nor counted here: its VM does both. Confined to the
 * event loop.
 */
public final class ForwardingServer implements CallerListener {

    /** Maximum number of requests at the same time, so that this VM's own callers are served. */
    private static final int MAXIMUM_REQUESTS = 64;

    private static final int OK = 200;

    /** Time after which a request is given up that names no time budget; peers always name one. */
    private static final Duration LONGEST_TIME_BUDGET = Duration.ofMinutes(10);

    private static final DecisionLog LOG = DecisionLog.of("peer");

    private final HttpConnectionPool pool;
    private final UpstreamTable upstreams;
    private final RequestFormat format;
    private final Supplier<MonotonicTime> clock;
    private final BooleanSupplier isAccepting;
    private final Predicate<InetAddress> isPeer;

    /** The requests that have not ended, in the order of their arrival. */
    private final Set<Passing> passing = new LinkedHashSet<>();

    private int running;

    /**
     * Creates a server.
     *
     * @param pool the connections to upstreams
     * @param upstreams the upstreams
     * @param format reads the heads of requests and responses
     * @param clock reads the current time
     * @param isAccepting whether this VM sends requests for others at present
     * @param isPeer whether an address belongs to a VM of the fleet
     */
    public ForwardingServer(
            HttpConnectionPool pool,
            UpstreamTable upstreams,
            RequestFormat format,
            Supplier<MonotonicTime> clock,
            BooleanSupplier isAccepting,
            Predicate<InetAddress> isPeer) {
        this.pool = pool;
        this.upstreams = upstreams;
        this.format = format;
        this.clock = clock;
        this.isAccepting = isAccepting;
        this.isPeer = isPeer;
    }

    /**
     * Returns whether a request asks this VM to send it to an upstream.
     *
     * @param head the head of the request
     * @return false for any other request
     */
    public static boolean isAskedBy(HttpRequest head) {
        return head.headers().contains(ForwardingHeaders.UPSTREAM);
    }

    /**
     * Returns the fields that a request of a peer has at most once.
     *
     * @param passedOn the names of those that a caller's request has at most once
     * @return those, and the ones that peers add
     */
    public static Set<String> singleFields(Set<String> passedOn) {
        Set<String> fields = new HashSet<>(passedOn);
        fields.addAll(ForwardingHeaders.ALL);
        return Set.copyOf(fields);
    }

    /**
     * Returns the number of requests that are at upstreams for peers, or whose responses are being sent to them.
     *
     * @return the number
     */
    public int runningRequests() {
        return running;
    }

    /**
     * Cancels the requests whose callers' time is up. The peer has given them up by then, but what it sends about that
     * may be lost on a link that is cut.
     *
     * @param now the current time
     */
    public void expire(MonotonicTime now) {
        passing.stream().filter(each -> !now.isBefore(each.deadline)).toList().forEach(Passing::expire);
    }

    @Override
    public Runnable onRequest(IncomingRequest request, CallerResponse response) {
        Optional<Upstream> upstream = upstream(request.head().headers());
        boolean isPossible = isPeer.test(request.sender()) && isAccepting.getAsBoolean() && running < MAXIMUM_REQUESTS;
        if (!isPossible || upstream.isEmpty()) {
            request.body().release();
            answer(response, isPossible ? ForwardingOutcome.NOT_SENT : ForwardingOutcome.DECLINED);
            return () -> {};
        }
        running++;
        boolean isRepeatable = request.head().headers().contains(ForwardingHeaders.REPEATABLE, "true", true);
        CallerRequest read = format.read(request.head());
        MonotonicTime deadline = clock.get().plus(read.timeBudget().orElse(LONGEST_TIME_BUDGET));
        Passing started = new Passing(read.identifier(), upstream.get(), response, deadline);
        passing.add(started);
        started.attach(pool.send(
                UpstreamConnections.target(upstream.get()),
                read.identifier(),
                toUpstream(request),
                UpstreamConnections.options(isRepeatable).startingBefore(deadline),
                started));
        return started::cancel;
    }

    /** Returns the upstream that a request names, if this VM may send it a request now. */
    private Optional<Upstream> upstream(HttpHeaders headers) {
        String started = headers.get(ForwardingHeaders.UPSTREAM_STARTED, "");
        MonotonicTime now = clock.get();
        return upstreams
                .find(headers.get(ForwardingHeaders.UPSTREAM))
                .filter(found -> String.valueOf(found.description().startedMilliseconds())
                        .equals(started))
                .filter(found -> upstreams.isUsable(found) && !found.isBackingOff(now));
    }

    private static FullHttpRequest toUpstream(IncomingRequest request) {
        HttpRequest head = request.head();
        FullHttpRequest forwarded =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), request.body());
        HopByHopHeaders.copyEndToEnd(head.headers(), forwarded.headers(), ForwardingHeaders.ALL);
        if (request.body().isReadable() || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            forwarded
                    .headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, request.body().readableBytes());
        }
        return forwarded;
    }

    private static void answer(CallerResponse response, ForwardingOutcome outcome) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(ForwardingHeaders.OUTCOME, outcome.text());
        response.sendFull(OK, headers, Unpooled.EMPTY_BUFFER);
    }

    private void finished() {
        running--;
    }

    /** Passes an upstream's response on to the peer. */
    private final class Passing implements ResponseListener {

        private final String identifier;
        private final Upstream upstream;
        private final CallerResponse response;
        private final MonotonicTime deadline;
        private HttpExchange exchange;
        private Optional<Duration> maximumWaitAfterDiscarding = Optional.empty();
        private boolean isBegun;
        private boolean isEnded;

        private Passing(String identifier, Upstream upstream, CallerResponse response, MonotonicTime deadline) {
            this.identifier = identifier;
            this.upstream = upstream;
            this.response = response;
            this.deadline = deadline;
        }

        private void attach(HttpExchange started) {
            exchange = started;
            response.onWritabilityChanged(started::setReading);
        }

        private void cancel() {
            end("cancelled", ForwardingServer.this::finished);
            exchange.cancel();
        }

        private void expire() {
            exchange.cancel();
            fail(exchange.isSent(), "deadline");
        }

        private void fail(boolean mayHaveRun, String reason) {
            end(reason, ForwardingServer.this::finished);
            if (isBegun) {
                response.abort();
            } else {
                answer(response, mayHaveRun ? ForwardingOutcome.NO_ANSWER : ForwardingOutcome.NOT_SENT);
            }
        }

        private void end(String result, Runnable action) {
            if (!isEnded) {
                isEnded = true;
                passing.remove(this);
                LOG.event(
                        "forwarded",
                        "request",
                        identifier,
                        "upstream",
                        upstream.description().identifier(),
                        "result",
                        result);
                action.run();
            }
        }

        @Override
        public boolean onHead(HttpResponse head, ConnectionUse use) {
            ResponseHead parsed = format.readResponse(head);
            boolean isAwaited = parsed.belongsTo(identifier, use);
            ResponseLog.received(identifier, upstream, parsed, use, isAwaited);
            if (!isAwaited) {
                maximumWaitAfterDiscarding = parsed.maximumWaitAfterDiscarding(use);
                return false;
            }
            upstream.recordActivity(clock.get());
            HttpHeaders headers = new DefaultHttpHeaders();
            HopByHopHeaders.copyEndToEnd(head.headers(), headers, ForwardingHeaders.ALL);
            headers.set(ForwardingHeaders.OUTCOME, ForwardingOutcome.ANSWERED.text());
            // The connection to the peer carried other requests, so the response has to name this one.
            format.addRequestIdentifier(headers, identifier);
            boolean hasExplicitEnd = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
            headers.set(ForwardingHeaders.EXPLICIT_END, hasExplicitEnd);
            isBegun = true;
            response.begin(head.status().code(), headers);
            return true;
        }

        @Override
        public Optional<Duration> maximumWaitAfterDiscarding() {
            return maximumWaitAfterDiscarding;
        }

        @Override
        public void onBody(ByteBuf chunk) {
            response.sendChunk(chunk.retain());
        }

        @Override
        public void onEnd() {
            end("passed_on", () -> response.endThen(ForwardingServer.this::finished));
        }

        @Override
        public void onFailure(ExchangeFailure failure, String reason) {
            fail(failure.isSent(), reason);
        }
    }
}
