package org.pollenhoist.experiments.processes;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Optional;
import org.pollenhoist.experiments.ExperimentException;

/** Makes HTTP calls to processes on loopback. */
public final class HttpCalls {

    private static final Duration DEADLINE = Duration.ofSeconds(30);
    private static final int OK = 200;

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(DEADLINE)
            .build();

    /** Creates a caller with connections of its own. */
    public HttpCalls() {}

    /**
     * Makes a call.
     *
     * @param method HTTP method
     * @param uri where to
     * @param body the body, empty for none
     * @param headers names and values in turn
     * @return the answer
     */
    public HttpResponse<String> call(String method, URI uri, String body, String... headers) {
        HttpRequest.Builder request = HttpRequest.newBuilder(uri)
                .timeout(DEADLINE)
                .method(method, body.isEmpty() ? BodyPublishers.noBody() : BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        try {
            return client.send(request.build(), BodyHandlers.ofString());
        } catch (IOException e) {
            throw new UncheckedIOException(method + " " + uri + ": " + e, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw ExperimentException.failed(method + " " + uri, e);
        }
    }

    /**
     * Makes a call that must succeed.
     *
     * @param method HTTP method
     * @param uri where to
     * @param body the body, empty for none
     * @param headers names and values in turn
     * @return the answer's body
     */
    public String require(String method, URI uri, String body, String... headers) {
        HttpResponse<String> answer = call(method, uri, body, headers);
        if (answer.statusCode() != OK) {
            throw ExperimentException.unexpectedAnswer(method + " " + uri, OK, answer.statusCode(), answer.body());
        }
        return answer.body();
    }

    /**
     * Asks for a status.
     *
     * @param uri where to
     * @return the HTTP status, or empty where nothing answers
     */
    public Optional<Integer> status(URI uri) {
        try {
            return Optional.of(call("GET", uri, "").statusCode());
        } catch (UncheckedIOException e) {
            return Optional.empty();
        }
    }
}
