package org.pollenhoist.platform;

import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.PollenhoistException;
import ratpack.exec.ExecController;
import ratpack.exec.internal.DefaultExecController;
import ratpack.http.client.HttpClient;
import ratpack.http.client.RequestSpec;

/**
 * Ratpack's HTTP client for threads that may block: each call waits for its answer.
 *
 * <p>Every call runs on a connection of its own, which is closed after the answer or the time-out. A connection that
 * went silent or on which an answer is late is therefore never used again. Safe for use by several threads.
 */
public final class BlockingHttpClient implements AutoCloseable {

    private static final int CLIENT_THREADS = 1;
    private static final int MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024;
    private static final Duration WAIT_BEYOND_TIMEOUT = Duration.ofMillis(250);

    private final Duration timeout;
    private final ExecController controller;
    private final HttpClient client;

    private BlockingHttpClient(Duration timeout, ExecController controller, HttpClient client) {
        this.timeout = timeout;
        this.controller = controller;
        this.client = client;
    }

    /**
     * An answer.
     *
     * @param status the HTTP status
     * @param body the body's bytes
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Answer(int status, byte[] body) {}

    /**
     * A call.
     *
     * @param method the HTTP method
     * @param uri where to
     * @param headers further headers
     * @param body the JSON body, or null for none
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Call(String method, URI uri, Map<String, String> headers, byte[] body) {}

    /**
     * Returns a client; it opens no connection before the first call.
     *
     * @param timeout how long connecting, and each silence while an answer is awaited, may last
     * @return the client, to be closed by the caller
     */
    public static BlockingHttpClient withTimeout(Duration timeout) {
        ExecController controller = new DefaultExecController(CLIENT_THREADS);
        try {
            HttpClient client = HttpClient.of(spec -> spec.execController(controller)
                    .poolSize(0)
                    .connectTimeout(timeout)
                    .readTimeout(timeout)
                    .maxContentLength(MAXIMUM_ANSWER_BYTES)
                    .useJdkAddressResolver());
            return new BlockingHttpClient(timeout, controller, client);
        } catch (Exception exception) {
            controller.close();
            throw new PollenhoistException(ErrorCode.INTERNAL, "HTTP client can't be made", exception);
        }
    }

    /**
     * Makes a call and waits for its answer.
     *
     * @param call the call
     * @param patience how long the server may keep silent beyond the time-out
     * @return the answer, whatever its status
     * @throws PlatformUnavailableException where no whole answer came in time
     */
    public Answer answer(Call call, Duration patience) {
        Duration readTimeout = timeout.plus(patience);
        CompletableFuture<Answer> future = new CompletableFuture<>();
        controller
                .fork()
                .onError(future::completeExceptionally)
                .start(execution -> client.request(call.uri(), spec -> describe(spec, call, readTimeout))
                        .then(response -> future.complete(new Answer(
                                response.getStatusCode(), response.getBody().getBytes()))));
        return await(describe(call), future, readTimeout.plus(timeout).plus(WAIT_BEYOND_TIMEOUT));
    }

    static String describe(Call call) {
        String query = call.uri().getRawQuery() == null ? "" : "?" + call.uri().getRawQuery();
        return call.method() + " " + call.uri().getRawPath() + query;
    }

    private static void describe(RequestSpec spec, Call call, Duration readTimeout) {
        spec.method(call.method()).readTimeout(readTimeout).redirects(0);
        call.headers().forEach((name, value) -> spec.getHeaders().set(name, value));
        if (call.body() != null) {
            spec.getBody().type("application/json").bytes(call.body());
        }
    }

    private static Answer await(String call, CompletableFuture<Answer> future, Duration patience) {
        try {
            return future.get(patience.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException exception) {
            throw PlatformUnavailableException.noAnswer(call, String.valueOf(exception.getCause()));
        } catch (TimeoutException exception) {
            throw PlatformUnavailableException.noAnswer(call, "nothing after " + patience.toMillis() + " ms");
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw PlatformUnavailableException.noAnswer(call, "the waiting thread was interrupted");
        }
    }

    @Override
    public void close() {
        client.close();
        controller.close();
    }
}
