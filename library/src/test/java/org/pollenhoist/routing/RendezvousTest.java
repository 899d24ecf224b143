package org.pollenhoist.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.common.VmName;

class RendezvousTest {

    private static final List<VmName> VMS = IntStream.range(0, 21)
            .mapToObj(number -> VmName.of("piraeus-" + number))
            .toList();

    private static final List<UpstreamName> UPSTREAMS = IntStream.range(0, 138)
            .mapToObj(number -> UpstreamName.of("scribe-" + number))
            .toList();

    @Nested
    class Rank {

        @Test
        void should_move_only_the_keys_of_a_member_that_goes() {
            VmName gone = VMS.get(7);
            List<VmName> rest = new ArrayList<>(VMS);
            rest.remove(gone);
            for (long key = 0; key < 1_000; key++) {
                VmName before = Rendezvous.rank(key, VMS).getFirst();
                if (!before.equals(gone)) {
                    assertThat(Rendezvous.rank(key, rest).getFirst()).isEqualTo(before);
                }
            }
        }

        @Test
        void should_spread_keys_evenly() {
            Map<VmName, Integer> headed = new HashMap<>();
            for (long key = 0; key < 21_000; key++) {
                headed.merge(Rendezvous.rank(Rendezvous.hash("key-" + key), VMS).getFirst(), 1, Integer::sum);
            }
            assertThat(headed.values())
                    .hasSize(21)
                    .allSatisfy(count -> assertThat(count).isBetween(800, 1_200));
        }
    }

    @Nested
    class AssignedTo {

        @Test
        void should_give_each_upstream_to_exactly_one_vm() {
            Set<UpstreamName> all = new TreeSet<>();
            int total = 0;
            for (VmName vm : VMS) {
                Set<UpstreamName> assigned = PollerAssignment.assignedTo(vm, VMS, UPSTREAMS);
                all.addAll(assigned);
                total += assigned.size();
            }
            assertThat(total).isEqualTo(138);
            assertThat(all).containsExactlyInAnyOrderElementsOf(UPSTREAMS);
        }
    }

    @Nested
    class DigestInterval {

        @Test
        void should_grow_with_the_failure_domain_so_that_the_budget_holds() {
            assertThat(PollerAssignment.digestInterval(3, 5)).isEqualTo(Duration.ofMillis(250));
            assertThat(PollerAssignment.digestInterval(21, 138)).isEqualTo(Duration.ofMillis(2_106));
        }
    }
}
