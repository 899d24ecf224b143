package org.pollenhoist.serving.request;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.catalog.CallerLimits;
import org.pollenhoist.serving.catalog.Catalog;
import org.pollenhoist.serving.catalog.RequestKind;
import org.pollenhoist.serving.catalog.Route;
import org.pollenhoist.serving.catalog.Service;
import org.pollenhoist.serving.catalog.Team;
import org.pollenhoist.serving.catalog.WeightedService;
import org.pollenhoist.serving.limit.FleetRateLimiter;

/** What admission needs of a VM: a configuration with one service, one team, and a route to a missing service. */
final class AdmissionFixture {

    static final MonotonicTime NOW = MonotonicTime.of(Duration.ofSeconds(100));
    static final long VERSION = 14;
    static final String KEY = "crews-key";
    static final String KEYED_PATH = "/loaves/rye";
    static final String PUBLIC_PATH = "/menu/today";
    static final String PATH_WITHOUT_SERVICE = "/rolls/poppy";
    static final String UNKNOWN_PATH = "/cakes/plum";

    private static final String HOST = "bakery.example";
    private static final String KEY_HEADER = "x-key";
    private static final String IDENTIFIER_HEADER = "x-identifier";

    boolean mayLackConfiguration;
    Optional<Catalog> catalog = Optional.of(Catalog.of(
            VERSION,
            List.of(
                    route("/loaves/", "bakery", false),
                    route("/menu/", "bakery", true),
                    route("/rolls/", "roller", true)),
            List.of(new Service("bakery", 4, Optional.empty())),
            List.of(new Team("crews", Set.of(KEY), OptionalInt.empty(), 0, 0, false, 0)),
            CallerLimits.DEFAULTS));

    private static Route route(String prefix, String service, boolean isPublic) {
        return new Route(
                prefix,
                HOST,
                prefix,
                RequestKind.IDEMPOTENT,
                Duration.ofSeconds(5),
                Duration.ofSeconds(1),
                Duration.ZERO,
                1,
                1,
                isPublic,
                false,
                List.of(new WeightedService(service, 1)));
    }

    RequestEnvironment environment() {
        return new RequestEnvironment(
                () -> NOW,
                () -> catalog,
                now -> mayLackConfiguration,
                null,
                null,
                new FleetRateLimiter(true, () -> 1, () -> {}),
                null,
                null,
                null,
                null,
                null,
                null,
                new HeaderFormat(),
                null,
                () -> 1,
                null,
                null,
                null,
                null,
                null,
                new RequestMetrics(new PrometheusRegistry()),
                () -> {});
    }

    static HttpRequest request(String path, Optional<String> key) {
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
        head.headers().set(HttpHeaderNames.HOST, HOST).set(IDENTIFIER_HEADER, "r-1");
        key.ifPresent(present -> head.headers().set(KEY_HEADER, present));
        return head;
    }

    /** Reads a request's identifier and key. */
    private static final class HeaderFormat implements RequestFormat {

        @Override
        public CallerRequest read(HttpRequest head) {
            return new CallerRequest(
                    head.headers().get(IDENTIFIER_HEADER),
                    Optional.ofNullable(head.headers().get(KEY_HEADER)),
                    Optional.empty(),
                    "",
                    "",
                    0,
                    0,
                    false,
                    List.of(),
                    Optional.empty(),
                    Optional.empty());
        }

        @Override
        public void forward(HttpHeaders callerHeaders, ForwardingMetadata forwarding, HttpHeaders upstreamHeaders) {
            throw new UnsupportedOperationException("admission sends nothing");
        }

        @Override
        public ResponseHead readResponse(HttpResponse head) {
            throw new UnsupportedOperationException("admission reads no response");
        }

        @Override
        public Set<String> eventFields() {
            return Set.of();
        }

        @Override
        public void addRequestIdentifier(HttpHeaders headers, String requestIdentifier) {
            headers.set(IDENTIFIER_HEADER, requestIdentifier);
        }
    }
}
