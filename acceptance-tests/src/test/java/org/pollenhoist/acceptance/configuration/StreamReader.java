package org.pollenhoist.acceptance.configuration;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/** Reads a completion as it is streamed and notes when it ends. */
final class StreamReader {

    private final AtomicInteger events = new AtomicInteger();
    private volatile boolean hasEnded;

    private StreamReader() {}

    static StreamReader open(URI uri, String key, int tokens) {
        StreamReader reader = new StreamReader();
        HttpRequest request = HttpRequest.newBuilder(uri)
                .header("Authorization", "Bearer " + key)
                .POST(HttpRequest.BodyPublishers.ofString("{\"model\":\"scribe\",\"stream\":true,\"max_tokens\":"
                        + tokens + ",\"messages\":[{\"role\":\"user\",\"content\":\"a long tale\"}]}"))
                .build();
        Thread.ofPlatform().daemon().start(() -> reader.read(request));
        return reader;
    }

    private void read(HttpRequest request) {
        try {
            HttpClient client =
                    HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
            HttpResponse<Stream<String>> answer = client.send(request, HttpResponse.BodyHandlers.ofLines());
            answer.body().filter(line -> line.startsWith("data:")).forEach(line -> events.incrementAndGet());
        } catch (IOException | UncheckedIOException brokenOff) {
            // A stream that breaks off has ended, which is what the reader is asked for.
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } finally {
            hasEnded = true;
        }
    }

    int events() {
        return events.get();
    }

    boolean hasEnded() {
        return hasEnded;
    }
}
