package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DomainRepresentativeTest {

    private static final List<String> VMS =
            IntStream.range(0, 21).mapToObj(index -> "vm-" + index).toList();

    private static List<String> representatives(List<String> alive) {
        return representatives(alive, Map.of());
    }

    /** Returns the representatives where some VMs name a link, in megabits per second. */
    private static List<String> representatives(List<String> alive, Map<String, Integer> links) {
        return alive.stream()
                .filter(vm -> DomainRepresentative.isRepresentative(
                        "north",
                        candidate(vm, links),
                        alive.stream()
                                .filter(other -> !other.equals(vm))
                                .map(other -> candidate(other, links))
                                .toList()))
                .toList();
    }

    private static LinkRanking.Candidate candidate(String vm, Map<String, Integer> links) {
        return new LinkRanking.Candidate(vm, links.getOrDefault(vm, 0));
    }

    @Nested
    class Choice {

        @Test
        void should_be_one_vm_when_all_receive_reports_from_each_other() {
            assertThat(representatives(VMS)).hasSize(1);
        }

        @Test
        void should_be_another_vm_when_the_representative_is_gone() {
            String first = representatives(VMS).get(0);
            List<String> others = new ArrayList<>(VMS);
            others.remove(first);

            assertThat(representatives(others)).hasSize(1).doesNotContain(first);
        }

        @Test
        void should_be_the_vm_itself_when_it_receives_no_reports() {
            assertThat(DomainRepresentative.isRepresentative("north", candidate("vm-1", Map.of()), List.of()))
                    .isTrue();
        }

        @Test
        void should_be_a_vm_with_a_wide_link() {
            assertThat(VMS)
                    .allSatisfy(wide ->
                            assertThat(representatives(VMS, links(wide))).containsExactly(wide));
        }

        @Test
        void should_be_a_vm_with_a_narrow_link_when_the_wide_one_is_gone() {
            Map<String, Integer> links = links("vm-3");
            List<String> others = new ArrayList<>(VMS);
            others.remove("vm-3");

            assertThat(representatives(others, links)).isEqualTo(representatives(others));
        }

        /** VMs of an earlier build name no link and decide by weights alone. */
        @Test
        void should_be_at_least_one_vm_beside_those_of_an_earlier_build() {
            for (int seed = 0; seed < 1_000; seed++) {
                Random random = new Random(seed);
                Map<String, Integer> links = new HashMap<>();
                VMS.stream().filter(vm -> random.nextBoolean()).forEach(vm -> links.put(vm, 1 + random.nextInt(140)));
                List<String> representatives = representatives(VMS, links);

                assertThat(representatives).as("seed %d", seed).hasSize(1);
                assertThat(links.containsKey(representatives.get(0)) || links.isEmpty())
                        .as("seed %d", seed)
                        .isTrue();
            }
        }

        private Map<String, Integer> links(String wide) {
            return VMS.stream().collect(Collectors.toMap(vm -> vm, vm -> vm.equals(wide) ? 140 : 7));
        }
    }
}
