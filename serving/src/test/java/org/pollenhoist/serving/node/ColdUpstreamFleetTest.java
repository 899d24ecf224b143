package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamDescription;

/**
 * Starts an upstream before simulated fleets under load. Guards against a cold upstream that crashes because many VMs
 * send it their requests at once.
 */
class ColdUpstreamFleetTest {

    private static final double REQUESTS_PER_SECOND = 8;

    /** One and a half times what a cold upstream bears in a second, and five requests. */
    private static final long MAXIMUM_IN_A_SECOND = (long) (1.5 * REQUESTS_PER_SECOND + 5);

    private static final long COLD_MILLISECONDS = 6_000;
    private static final int DEMAND_PER_SECOND = 400;

    /** Time within which all VMs see the upstream's entry in the store. */
    private static final int PROPAGATION_MILLISECONDS = 900;

    /** A fleet whose callers all ask for the same upstream. */
    private static final class Fleet {

        private final SimulatedExchange exchange;
        private final Random random;
        private final List<Long> arrivals = new ArrayList<>();

        private Fleet(int vms, int domains, long seed) {
            exchange = new SimulatedExchange(vms, domains, 10, List.of(), seed);
            random = new Random(seed);
            exchange.run(2_000);
        }

        private UpstreamDescription startedUpstream() {
            return new UpstreamDescription(
                    "i-cold",
                    1,
                    "engines",
                    "v1",
                    new InetSocketAddress(1),
                    "domain-0",
                    64,
                    false,
                    0,
                    List.of(),
                    Set.of(),
                    Duration.ofMillis(COLD_MILLISECONDS));
        }

        private void start() {
            UpstreamDescription started = startedUpstream();
            for (SimulatedExchange.Vm vm : exchange.vms) {
                vm.upstreams.limitColdUpstreams(service -> OptionalDouble.of(REQUESTS_PER_SECOND));
                exchange.after(
                        random.nextInt(PROPAGATION_MILLISECONDS), () -> vm.upstreams.put(started, exchange.now()));
            }
        }

        private void load(long milliseconds) {
            for (long number = 0; number < DEMAND_PER_SECOND * milliseconds / 1_000; number++) {
                exchange.after((long) (random.nextDouble() * milliseconds), this::sendOne);
            }
            exchange.run(milliseconds);
        }

        private void sendOne() {
            SimulatedExchange.Vm vm = exchange.vms.get(random.nextInt(exchange.vms.size()));
            vm.upstreams.find("i-cold").filter(found -> vm.isAlive).ifPresent(this::send);
        }

        private void send(Upstream upstream) {
            if (upstream.acceptsRequests(exchange.now())) {
                upstream.rateLimit().recordSent(exchange.now());
                arrivals.add(exchange.now().nanoseconds());
            }
        }

        private long mostInASecond() {
            long second = Duration.ofSeconds(1).toNanos();
            return arrivals.stream()
                    .mapToLong(begin -> arrivals.stream()
                            .filter(time -> time >= begin && time < begin + second)
                            .count())
                    .max()
                    .orElse(0);
        }
    }

    @Nested
    class Sum {

        @ParameterizedTest
        @CsvSource({"9, 3, 1", "9, 3, 2", "24, 3, 3", "60, 3, 4", "95, 5, 5"})
        void should_stay_within_what_a_cold_upstream_bears_and_use_some_of_it(int vms, int domains, long seed) {
            Fleet fleet = new Fleet(vms, domains, seed);
            fleet.start();
            fleet.load(COLD_MILLISECONDS);

            assertThat(fleet.mostInASecond()).isLessThanOrEqualTo(MAXIMUM_IN_A_SECOND);
            assertThat(fleet.arrivals).hasSizeGreaterThan((int) REQUESTS_PER_SECOND);
        }

        @ParameterizedTest
        @CsvSource({"9, 3, 1", "24, 3, 2", "95, 5, 3"})
        void should_stay_within_it_when_digests_are_lost_and_a_failure_domain_is_cut_off(
                int vms, int domains, long seed) {
            Fleet fleet = new Fleet(vms, domains, seed);
            fleet.exchange.degradeLinks(0.2, 0.2, 80);
            fleet.exchange.partition(Set.of("domain-1"));
            fleet.start();
            fleet.load(COLD_MILLISECONDS);

            assertThat(fleet.mostInASecond()).isLessThanOrEqualTo(MAXIMUM_IN_A_SECOND);
        }
    }
}
