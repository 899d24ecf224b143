package org.pollenhoist.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EngineConnectionTest {

    private static final String WHOLE = "HTTP/1.1 200 OK\r\nX-Kind: report\r\nContent-Length: 2\r\n\r\n{}";

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private ServerSocket server;
    private volatile String response = "";
    private volatile boolean isReset;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::acceptConnections, "engine");
        thread.setDaemon(true);
        thread.start();
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private void acceptConnections() {
        while (!server.isClosed()) {
            try (Socket connection = server.accept()) {
                BufferedReader lines = new BufferedReader(
                        new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
                while (!lines.readLine().isEmpty()) {
                    // Bytes of a request that was not read would turn a close into a reset.
                }
                connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                connection.setSoLinger(isReset, 0);
            } catch (IOException closed) {
                // The client closed first, or the test has ended.
            }
        }
    }

    /** Returns the status of the answer, or "failed". */
    private String request() {
        return EngineConnection.open(group, "127.0.0.1", server.getLocalPort(), Duration.ofSeconds(10))
                .thenCompose(connection -> connection.request(HttpMethod.GET, "/", new byte[0]))
                .thenApply(answer -> String.valueOf(answer.status()))
                .exceptionally(failure -> "failed")
                .orTimeout(60, TimeUnit.SECONDS)
                .join();
    }

    @Nested
    class Answers {

        /** Guards against an answer whose head is cut and that counts as one without a body. */
        @ParameterizedTest(name = "reset {0}")
        @ValueSource(booleans = {false, true})
        void should_fail_when_they_are_cut_before_any_byte(boolean endsWithReset) {
            isReset = endsWithReset;
            List<String> wrong = new ArrayList<>();
            for (int length = 0; length < WHOLE.length(); length++) {
                response = WHOLE.substring(0, length);
                String result = request();
                if (!"failed".equals(result)) {
                    wrong.add(result + " after " + length + " bytes");
                }
            }
            response = WHOLE;
            isReset = false;

            assertThat(wrong).isEmpty();
            assertThat(request()).isEqualTo("200");
        }
    }
}
