package org.pollenhoist.upstream;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.URI;
import java.time.Duration;
import org.pollenhoist.configuration.Upstream;
import ratpack.exec.ExecController;
import ratpack.exec.Promise;
import ratpack.http.client.HttpClient;
import ratpack.http.client.HttpClientReadTimeoutException;
import ratpack.http.client.RequestSpec;
import ratpack.http.client.StreamedResponse;

/**
 * Sends requests to upstreams and says for each failure what it proves.
 *
 * <p>Two Ratpack clients: one keeps idle connections for work that may be repeated, the other opens a connection for
 * each request, since an idle connection may have gone silent without either end knowing.
 */
public final class UpstreamClient {

    /** The header that names a request in both directions. */
    public static final String IDENTIFIER_HEADER = "X-Request-Id";

    /** The header with which an upstream states that it did not run a request. */
    public static final String NOT_RUN_HEADER = "X-Not-Run";

    private static final int IDLE_CONNECTIONS_PER_UPSTREAM = 64;

    private static final Duration MAXIMUM_IDLE = Duration.ofSeconds(5);

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private static final int SERVICE_UNAVAILABLE = 503;

    private final HttpClient keptAlive;

    private final HttpClient fresh;

    private UpstreamClient(HttpClient keptAlive, HttpClient fresh) {
        this.keptAlive = keptAlive;
        this.fresh = fresh;
    }

    /**
     * Creates a client.
     *
     * @param executions where its work runs
     * @return the client
     * @throws Exception where Ratpack can't create its clients
     */
    public static UpstreamClient create(ExecController executions) throws Exception {
        HttpClient keptAlive = HttpClient.of(spec -> spec.execController(executions)
                .poolSize(IDLE_CONNECTIONS_PER_UPSTREAM)
                .idleTimeout(MAXIMUM_IDLE)
                .connectTimeout(CONNECT_TIMEOUT));
        HttpClient fresh = HttpClient.of(
                spec -> spec.execController(executions).poolSize(0).connectTimeout(CONNECT_TIMEOUT));
        return new UpstreamClient(keptAlive, fresh);
    }

    /**
     * Sends a request and waits for the head of its answer. The caller of this method owns the answer's body and
     * subscribes to it, if only to cancel it.
     *
     * @param upstream where it goes
     * @param request what goes
     * @return what became of it; the promise itself never fails
     */
    public Promise<UpstreamAttempt> send(Upstream upstream, UpstreamRequest request) {
        HttpClient client = request.isFreshConnection() ? fresh : keptAlive;
        URI address = URI.create("http://" + upstream.address() + ":" + upstream.port() + request.pathAndQuery());
        return client.requestStream(address, spec -> fill(spec, request))
                .map(response -> inspect(request, response))
                .mapError(UpstreamClient::explain);
    }

    private static void fill(RequestSpec spec, UpstreamRequest request) throws Exception {
        spec.method(request.method());
        spec.redirects(0);
        spec.decompressResponse(false);
        spec.readTimeout(request.answerTimeout());
        spec.headers(headers -> {
            request.headers().forEach(header -> headers.add(header.name(), header.value()));
            headers.set(IDENTIFIER_HEADER, request.identifier());
        });
        if (request.body().length > 0) {
            spec.body(body -> body.bytes(request.body()));
        }
    }

    private static UpstreamAttempt inspect(UpstreamRequest request, StreamedResponse response) {
        String echoed = response.getHeaders().get(IDENTIFIER_HEADER);
        if (echoed != null && !echoed.equals(request.identifier())) {
            discard(response);
            return new UpstreamAttempt.Broken(
                    "the answer names request " + echoed + ", expected " + request.identifier());
        }
        boolean isStatedNotRun = response.getStatusCode() == SERVICE_UNAVAILABLE
                && "true".equals(response.getHeaders().get(NOT_RUN_HEADER));
        if (isStatedNotRun) {
            discard(response);
            return new UpstreamAttempt.StatedNotRun(response.getStatusCode());
        }
        return new UpstreamAttempt.Answered(response);
    }

    private static void discard(StreamedResponse response) {
        response.getBody().subscribe(new CancellingSubscriber());
    }

    private static UpstreamAttempt explain(Throwable failure) {
        return switch (failure) {
            case ConnectTimeoutException timeout -> new UpstreamAttempt.NotSent("no connection in time");
            case ConnectException refused -> new UpstreamAttempt.NotSent("connection refused");
            case NoRouteToHostException unreachable -> new UpstreamAttempt.NotSent("no route");
            case HttpClientReadTimeoutException timeout -> new UpstreamAttempt.TimedOut("no answer in time");
            default -> new UpstreamAttempt.Broken(String.valueOf(failure));
        };
    }
}
