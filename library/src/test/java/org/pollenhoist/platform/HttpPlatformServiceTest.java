package org.pollenhoist.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.FailureDomain;

class HttpPlatformServiceTest {

    /** Long enough for the first call of a virtual machine that has yet to load its classes on a busy host. */
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    private final List<String> calls = Collections.synchronizedList(new ArrayList<>());
    private final List<Integer> callerPorts = Collections.synchronizedList(new ArrayList<>());
    private final CountDownLatch silence = new CountDownLatch(1);
    private final ExecutorService workers = Executors.newCachedThreadPool();
    private HttpServer server;
    private HttpPlatformService platform;
    private volatile int status = 200;
    private volatile String answer = "";
    private volatile boolean isSilent;

    @BeforeEach
    void start() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(workers);
        server.createContext("/", this::handle);
        server.start();
        platform = HttpPlatformService.at(server.getAddress(), TIMEOUT);
    }

    @AfterEach
    void stop() {
        silence.countDown();
        platform.close();
        server.stop(0);
        workers.shutdownNow();
    }

    private void handle(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        calls.add((exchange.getRequestMethod() + " " + exchange.getRequestURI() + " " + body).trim());
        callerPorts.add(exchange.getRemoteAddress().getPort());
        if (isSilent) {
            awaitEnd();
        }
        byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private void awaitEnd() {
        try {
            silence.await();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    @Nested
    class Read {

        @Test
        void should_decode_the_value() {
            answer = "{\"key\":\"a/b\",\"version\":3,\"content\":\"aGk=\"}";

            StoredValue value = platform.read("a/b").orElseThrow();

            assertThat(value.version()).isEqualTo(3);
            assertThat(value.content()).asString(StandardCharsets.UTF_8).isEqualTo("hi");
            assertThat(calls).containsExactly("GET /v1/values?key=a%2Fb");
        }

        @Test
        void should_be_empty_when_there_is_no_value() {
            status = 404;

            assertThat(platform.read("a")).isEmpty();
        }

        @Test
        void should_name_the_status_when_the_service_is_down() {
            status = 503;

            assertThatThrownBy(() -> platform.read("a"))
                    .isInstanceOf(PlatformUnavailableException.class)
                    .hasMessage("answer to GET /v1/values?key=a is 503, expected 200 or 404");
        }

        @Test
        void should_use_another_connection_when_a_call_timed_out() {
            isSilent = true;
            assertThatThrownBy(() -> platform.read("a"))
                    .isInstanceOf(PlatformUnavailableException.class)
                    .hasMessageStartingWith("no answer to GET /v1/values?key=a: ");
            isSilent = false;
            answer = "{\"key\":\"b\",\"version\":1,\"content\":\"\"}";

            assertThat(platform.read("b").orElseThrow().key()).isEqualTo("b");

            assertThat(callerPorts).hasSize(2).doesNotHaveDuplicates();
        }
    }

    @Nested
    class CompareAndSwap {

        @Test
        void should_send_the_expected_version_and_the_lease() {
            answer = "{\"version\":4}";

            WriteOutcome outcome = platform.compareAndSwap("k", 3, new byte[] {'h', 'i'}, Optional.of("l 1"));

            assertThat(outcome).isEqualTo(new WriteOutcome.Written(4));
            assertThat(calls)
                    .containsExactly("PUT /v1/values?key=k&expectedVersion=3&lease=l+1 {\"content\":\"aGk=\"}");
        }

        @Test
        void should_tell_the_version_that_stands_when_it_is_another() {
            status = 409;
            answer = "{\"version\":7}";

            assertThat(platform.compareAndSwap("k", 3, new byte[0], Optional.empty()))
                    .isEqualTo(new WriteOutcome.Conflict(7));
        }

        @Test
        void should_be_unknown_when_the_answer_is_lost() {
            isSilent = true;

            WriteOutcome outcome = platform.compareAndSwap("k", 3, new byte[0], Optional.empty());

            assertThat(outcome).isInstanceOf(WriteOutcome.Unknown.class);
        }

        @Test
        void should_be_unknown_when_the_service_fails() {
            status = 503;

            assertThat(platform.compareAndSwap("k", 3, new byte[0], Optional.empty()))
                    .isEqualTo(new WriteOutcome.Unknown(
                            "answer to PUT /v1/values?key=k&expectedVersion=3 is 503, expected 200 or 409"));
        }
    }

    @Nested
    class Watch {

        @Test
        void should_be_empty_when_nothing_changed() {
            status = 204;

            assertThat(platform.watch("p", 5, Duration.ofMillis(10))).isEmpty();
            assertThat(calls).containsExactly("GET /v1/watch?prefix=p&after=5&waitMillis=10");
        }

        @Test
        void should_list_what_changed() {
            answer = "{\"revision\":9,\"values\":[{\"key\":\"p\",\"version\":2,\"content\":\"\"}]}";

            Listing listing = platform.watch("p", 5, Duration.ofMillis(10)).orElseThrow();

            assertThat(listing.revision()).isEqualTo(9);
            assertThat(listing.values()).extracting(StoredValue::version).containsExactly(2L);
        }
    }

    @Nested
    class Leases {

        @Test
        void should_tell_when_a_lease_has_ended() {
            answer = "{\"lease\":\"l1\"}";
            String lease = platform.grantLease(Duration.ofSeconds(3));
            boolean isRenewed = platform.renewLease(lease);
            status = 404;

            assertThat(isRenewed).isTrue();
            assertThat(platform.renewLease(lease)).isFalse();
            assertThat(calls)
                    .containsExactly("POST /v1/leases {\"millis\":3000}", "PUT /v1/leases/l1", "PUT /v1/leases/l1");
        }
    }

    @Nested
    class ListVms {

        @Test
        void should_decode_the_list() {
            answer = "{\"vms\":[{\"name\":\"entry-1\",\"address\":\"127.0.0.1\",\"port\":80,"
                    + "\"failureDomain\":\"lavrio\",\"leaving\":true}]}";

            assertThat(platform.listVms())
                    .containsExactly(new ListedVm("entry-1", "127.0.0.1", 80, FailureDomain.of("lavrio"), true));
        }
    }
}
