package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DomainRepresentativeTest {

    private static final List<String> VMS =
            IntStream.range(0, 21).mapToObj(index -> "vm-" + index).toList();

    private static List<String> representatives(List<String> alive) {
        return alive.stream()
                .filter(vm -> {
                    List<String> others = new ArrayList<>(alive);
                    others.remove(vm);
                    return DomainRepresentative.isRepresentative("north", vm, others);
                })
                .toList();
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
            assertThat(DomainRepresentative.isRepresentative("north", "vm-1", List.of()))
                    .isTrue();
        }
    }
}
