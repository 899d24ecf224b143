package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DomainSpeakerTest {

    private static final List<String> VMS =
            IntStream.range(0, 21).mapToObj(index -> "vm-" + index).toList();

    private static List<String> speakers(List<String> alive) {
        return alive.stream()
                .filter(vm -> {
                    List<String> others = new ArrayList<>(alive);
                    others.remove(vm);
                    return DomainSpeaker.isSpeaker("north", vm, others);
                })
                .toList();
    }

    @Nested
    class Choice {

        @Test
        void should_fall_on_one_vm_where_all_hear_each_other() {
            assertThat(speakers(VMS)).hasSize(1);
        }

        @Test
        void should_fall_on_another_one_when_the_speaker_is_gone() {
            String first = speakers(VMS).get(0);
            List<String> others = new ArrayList<>(VMS);
            others.remove(first);

            assertThat(speakers(others)).hasSize(1).doesNotContain(first);
        }

        @Test
        void should_fall_on_a_vm_that_hears_nobody() {
            assertThat(DomainSpeaker.isSpeaker("north", "vm-1", List.of())).isTrue();
        }
    }
}
