package org.pollenhoist.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.common.VmName;
import org.pollenhoist.configuration.Upstream;

class PollingPlanTest {

    private static final FailureDomain PIRAEUS = FailureDomain.of("piraeus");
    private static final FailureDomain LAVRIO = FailureDomain.of("lavrio");
    private static final MonotonicTime NOW = MonotonicTime.of(Duration.ofSeconds(100));

    private final List<Upstream> engines = IntStream.range(0, 12)
            .mapToObj(number -> engine("scribe-" + number, number < 6 ? PIRAEUS : LAVRIO))
            .toList();
    private final Map<UpstreamName, MonotonicTime> allHeard =
            engines.stream().collect(Collectors.toMap(Upstream::name, engine -> NOW));

    private static Upstream engine(String name, FailureDomain domain) {
        return new Upstream(UpstreamName.of(name), Upstream.Kind.ENGINE, "scribe", "127.0.0.1", 1, domain, 1, 1, true);
    }

    @Nested
    class ToPoll {

        @Test
        void should_have_each_engine_asked_by_one_vm_of_its_domain() {
            Map<VmName, FailureDomain> vms = Map.of(
                    VmName.of("piraeus-1"), PIRAEUS, VmName.of("piraeus-2"), PIRAEUS, VmName.of("lavrio-1"), LAVRIO);

            List<Upstream> asked = new ArrayList<>();
            vms.forEach((vm, domain) -> {
                List<Upstream> part = new PollingPlan(vm, vms).toPoll(engines, allHeard, NOW);
                assertThat(part).allMatch(engine -> engine.failureDomain().equals(domain));
                asked.addAll(part);
            });

            assertThat(asked).containsExactlyInAnyOrderElementsOf(engines);
        }

        @Test
        void should_divide_the_engines_of_a_domain_without_vms_among_the_others() {
            Map<VmName, FailureDomain> vms = Map.of(VmName.of("piraeus-1"), PIRAEUS, VmName.of("piraeus-2"), PIRAEUS);

            List<Upstream> asked = vms.keySet().stream()
                    .map(vm -> new PollingPlan(vm, vms).toPoll(engines, allHeard, NOW))
                    .flatMap(List::stream)
                    .toList();

            assertThat(asked).containsExactlyInAnyOrderElementsOf(engines);
        }

        @Test
        void should_ask_an_engine_directly_when_nothing_was_heard_of_it() {
            VmName vm = VmName.of("piraeus-1");
            Map<VmName, FailureDomain> vms = Map.of(vm, PIRAEUS, VmName.of("lavrio-1"), LAVRIO);
            Map<UpstreamName, MonotonicTime> heard = engines.stream()
                    .map(Upstream::name)
                    .filter(name -> !name.value().equals("scribe-9"))
                    .collect(Collectors.toMap(Function.identity(), name -> NOW));

            List<Upstream> asked = new PollingPlan(vm, vms).toPoll(engines, heard, NOW);

            assertThat(asked)
                    .extracting(engine -> engine.name().value())
                    .contains("scribe-9")
                    .doesNotContain("scribe-8");
        }
    }
}
