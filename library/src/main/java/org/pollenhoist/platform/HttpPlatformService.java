package org.pollenhoist.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.PollenhoistException;

/**
 * The platform's key-value service over HTTP, in the format that docs/WIRE-FORMATS.md states. The only class that knows
 * it.
 *
 * <p>Methods block their thread: never call them on a thread that serves events. Safe for use by several threads.
 */
public final class HttpPlatformService implements PlatformService, AutoCloseable {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String DOMAIN_HEADER = "X-Failure-Domain";
    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int TOO_LARGE = 413;

    private final String root;
    private final Map<String, String> headers;
    private final BlockingHttpClient client;

    private HttpPlatformService(String root, Map<String, String> headers, BlockingHttpClient client) {
        this.root = root;
        this.headers = headers;
        this.client = client;
    }

    /**
     * Returns a client; it opens no connection before the first call.
     *
     * @param address IP number and TCP port of the service
     * @param timeout how long each call may take; a watch may take its wait besides
     * @return the client, to be closed by the caller
     */
    public static HttpPlatformService at(InetSocketAddress address, Duration timeout) {
        return at(address, timeout, Map.of());
    }

    /**
     * Returns a client that says where it stands.
     *
     * @param address IP number and TCP port of the service
     * @param timeout how long each call may take; a watch may take its wait besides
     * @param failureDomain the failure domain of the caller
     * @return the client, to be closed by the caller
     */
    public static HttpPlatformService at(InetSocketAddress address, Duration timeout, FailureDomain failureDomain) {
        return at(address, timeout, Map.of(DOMAIN_HEADER, failureDomain.value()));
    }

    private static HttpPlatformService at(InetSocketAddress address, Duration timeout, Map<String, String> headers) {
        String host = address.getAddress().getHostAddress();
        String literal = host.contains(":") ? "[" + host + "]" : host;
        String root = "http://" + literal + ":" + address.getPort();
        return new HttpPlatformService(root, headers, BlockingHttpClient.withTimeout(timeout));
    }

    @Override
    public void close() {
        client.close();
    }

    @Override
    public Optional<StoredValue> read(String key) {
        Answer answer = answer("GET", "/v1/values?key=" + encoded(key), Duration.ZERO, null);
        if (answer.status() == NOT_FOUND) {
            return Optional.empty();
        }
        return Optional.of(storedValue(answer.expect(OK, "200 or 404")));
    }

    @Override
    public Listing list(String prefix) {
        return listing(answer("GET", "/v1/list?prefix=" + encoded(prefix), Duration.ZERO, null)
                .expect(OK, "200"));
    }

    @Override
    public WriteOutcome compareAndSwap(
            String key, long expectedVersion, byte[] content, Optional<String> leaseIdentifier) {
        String lease = leaseIdentifier
                .map(identifier -> "&lease=" + encoded(identifier))
                .orElse("");
        byte[] body = json(JsonNodeFactory.instance
                .objectNode()
                .put("content", Base64.getEncoder().encodeToString(content)));
        return write(
                key, "PUT", "/v1/values?key=" + encoded(key) + "&expectedVersion=" + expectedVersion + lease, body);
    }

    @Override
    public WriteOutcome remove(String key, long expectedVersion) {
        return write(key, "DELETE", "/v1/values?key=" + encoded(key) + "&expectedVersion=" + expectedVersion, null);
    }

    /** A 5xx proves nothing about a write: the service may fail between the write and its answer. */
    private WriteOutcome write(String key, String method, String target, byte[] body) {
        try {
            Answer answer = answer(method, target, Duration.ZERO, body);
            return switch (answer.status()) {
                case OK ->
                    new WriteOutcome.Written(answer.json().path("version").asLong());
                case CONFLICT ->
                    new WriteOutcome.Conflict(answer.json().path("version").asLong());
                // The lease has ended: nothing was written, whatever version stands.
                case NOT_FOUND ->
                    new WriteOutcome.Conflict(
                            read(key).map(StoredValue::version).orElse(0L));
                case TOO_LARGE ->
                    throw new PollenhoistException(
                            ErrorCode.INTERNAL,
                            "value of " + body.length + " encoded bytes is too large for the platform's service");
                default ->
                    new WriteOutcome.Unknown(
                            PlatformUnavailableException.unexpectedStatus(answer.call(), answer.status(), "200 or 409")
                                    .getMessage());
            };
        } catch (PlatformUnavailableException exception) {
            return new WriteOutcome.Unknown(exception.getMessage());
        }
    }

    @Override
    public Optional<Listing> watch(String prefix, long afterRevision, Duration wait) {
        String target =
                "/v1/watch?prefix=" + encoded(prefix) + "&after=" + afterRevision + "&waitMillis=" + wait.toMillis();
        Answer answer = answer("GET", target, wait, null);
        if (answer.status() == NO_CONTENT) {
            return Optional.empty();
        }
        return Optional.of(listing(answer.expect(OK, "200 or 204")));
    }

    @Override
    public String grantLease(Duration duration) {
        byte[] body = json(JsonNodeFactory.instance.objectNode().put("millis", duration.toMillis()));
        return answer("POST", "/v1/leases", Duration.ZERO, body)
                .expect(OK, "200")
                .path("lease")
                .asText();
    }

    @Override
    public boolean renewLease(String leaseIdentifier) {
        Answer answer = answer("PUT", "/v1/leases/" + encoded(leaseIdentifier), Duration.ZERO, null);
        if (answer.status() == NOT_FOUND) {
            return false;
        }
        answer.expect(OK, "200 or 404");
        return true;
    }

    @Override
    public void revokeLease(String leaseIdentifier) {
        answer("DELETE", "/v1/leases/" + encoded(leaseIdentifier), Duration.ZERO, null)
                .expect(OK, "200");
    }

    @Override
    public List<ListedVm> listVms() {
        JsonNode body = answer("GET", "/v1/vms", Duration.ZERO, null).expect(OK, "200");
        List<ListedVm> vms = new ArrayList<>();
        for (JsonNode vm : body.path("vms")) {
            vms.add(new ListedVm(
                    vm.path("name").asText(),
                    vm.path("address").asText(),
                    vm.path("port").asInt(),
                    FailureDomain.of(vm.path("failureDomain").asText()),
                    vm.path("leaving").asBoolean()));
        }
        return vms;
    }

    private Answer answer(String method, String target, Duration beyondTimeout, byte[] body) {
        BlockingHttpClient.Call call = new BlockingHttpClient.Call(method, URI.create(root + target), headers, body);
        BlockingHttpClient.Answer answer = client.answer(call, beyondTimeout);
        return new Answer(BlockingHttpClient.describe(call), answer.status(), answer.body());
    }

    private static Listing listing(JsonNode body) {
        List<StoredValue> values = new ArrayList<>();
        body.path("values").forEach(value -> values.add(storedValue(value)));
        return new Listing(body.path("revision").asLong(), values);
    }

    private static StoredValue storedValue(JsonNode value) {
        return new StoredValue(
                value.path("key").asText(),
                value.path("version").asLong(),
                Base64.getDecoder().decode(value.path("content").asText()));
    }

    private static String encoded(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private static byte[] json(JsonNode value) {
        return value.toString().getBytes(StandardCharsets.UTF_8);
    }

    @SuppressWarnings("ArrayRecordComponent")
    private record Answer(String call, int status, byte[] body) {

        JsonNode expect(int expectedStatus, String expected) {
            if (status != expectedStatus) {
                throw PlatformUnavailableException.unexpectedStatus(call, status, expected);
            }
            return json();
        }

        JsonNode json() {
            try {
                return MAPPER.readTree(body);
            } catch (IOException exception) {
                throw PlatformUnavailableException.noAnswer(call, "the answer is not JSON");
            }
        }
    }
}
