package org.pollenhoist.routing;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.configuration.Upstream;

/** Upstreams, reports and requests that the tests of this package share. */
final class Fixtures {

    static final FailureDomain PIRAEUS = FailureDomain.of("piraeus");
    static final FailureDomain LAVRIO = FailureDomain.of("lavrio");
    static final ModelName MODEL = ModelName.of("scribe-large");
    static final RoutingTarget TARGET = RoutingTarget.ofModel("scribe", MODEL);
    static final RoutingRequest REQUEST = RoutingRequest.of(TARGET, 5, PIRAEUS);

    private Fixtures() {}

    static UpstreamName name(int number) {
        return UpstreamName.of("scribe-" + number);
    }

    static Upstream engine(int number, FailureDomain domain) {
        return new Upstream(name(number), Upstream.Kind.ENGINE, "scribe", "127.0.0.1", 1, domain, 1, 1_000, true);
    }

    static UpstreamReport report(int number, int running, Duration age) {
        return new UpstreamReport(name(number), 1, running, 0, 0, Set.of(MODEL), Set.of(), false, age);
    }

    /** Engines 1 to count in piraeus that all hold the model and reported no load at the given time. */
    static UpstreamTable idleTable(int count, MonotonicTime now) {
        UpstreamTable table = new UpstreamTable();
        List<Upstream> engines = IntStream.rangeClosed(1, count)
                .mapToObj(number -> engine(number, PIRAEUS))
                .toList();
        table.install(engines);
        IntStream.rangeClosed(1, count).forEach(number -> table.recordReport(report(number, 0, Duration.ZERO), now));
        return table;
    }

    static Router router(UpstreamTable table) {
        return new Router(table, RoutingPolicy.standard(), new Random(1));
    }

    static MonotonicTime at(long milliseconds) {
        return MonotonicTime.of(Duration.ofMillis(milliseconds));
    }

    static UpstreamName chosen(RoutingDecision decision) {
        return ((RoutingDecision.Chosen) decision).upstream();
    }
}
