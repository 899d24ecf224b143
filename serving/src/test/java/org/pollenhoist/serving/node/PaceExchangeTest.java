package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamPace;

/** Lets one VM of a simulated fleet hear from an upstream that it is slow. */
class PaceExchangeTest {

    private static final double SLOW = 3;

    private static Upstream upstream(SimulatedExchange.Vm vm) {
        return vm.upstreams.find("i-00000000").orElseThrow();
    }

    @Nested
    class Peers {

        @ParameterizedTest
        @CsvSource({"9, 3", "60, 3"})
        void should_learn_the_pace_within_their_failure_domain_and_forget_it_without_statements(int vms, int domains) {
            SimulatedExchange exchange = new SimulatedExchange(vms, domains, 10, List.of(), 1);
            exchange.run(2_000);
            SimulatedExchange.Vm observer = exchange.vms.getFirst();

            upstream(observer).pace().observe(SLOW, exchange.now());
            exchange.run(1_000);

            List<SimulatedExchange.Vm> peers = exchange.vms.stream()
                    .filter(vm -> vm != observer && vm.failureDomain.equals(observer.failureDomain))
                    .toList();
            assertThat(peers)
                    .allSatisfy(vm ->
                            assertThat(upstream(vm).pace().at(exchange.now())).isGreaterThan(UpstreamPace.USUAL));
            exchange.run(4_000);
            assertThat(peers)
                    .allSatisfy(vm ->
                            assertThat(upstream(vm).pace().at(exchange.now())).isEqualTo(UpstreamPace.USUAL));
        }
    }
}
