package org.pollenhoist.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.common.VmName;

class LeavingListsTest {

    private static final UpstreamName SCRIBE = UpstreamName.of("scribe-1");
    private static final UpstreamName BERTH = UpstreamName.of("berth-1");
    private static final VmName FIRST = VmName.of("piraeus-1");
    private static final VmName SECOND = VmName.of("piraeus-2");

    private final LeavingLists lists = new LeavingLists();

    private static MonotonicTime at(int seconds) {
        return MonotonicTime.of(Duration.ofSeconds(seconds));
    }

    @Nested
    class IsReader {

        @Test
        void should_hold_for_two_of_many_vms() {
            List<VmName> vms = IntStream.range(0, 21)
                    .mapToObj(number -> VmName.of("vm-" + number))
                    .toList();

            assertThat(vms.stream().filter(vm -> LeavingLists.isReader(vm, vms)))
                    .hasSize(2);
        }

        @Test
        void should_hold_for_a_vm_that_is_alone() {
            assertThat(LeavingLists.isReader(FIRST, List.of(FIRST))).isTrue();
        }
    }

    @Nested
    class Leaving {

        @Test
        void should_join_what_all_readers_found() {
            lists.record(FIRST, Set.of(SCRIBE), at(1));
            lists.record(SECOND, Set.of(BERTH), at(1));

            assertThat(lists.leaving(at(2))).containsExactlyInAnyOrder(SCRIBE, BERTH);
        }

        @Test
        void should_forget_an_upstream_when_its_reader_no_longer_finds_it() {
            lists.record(FIRST, Set.of(SCRIBE), at(1));
            lists.record(FIRST, Set.of(), at(2));

            assertThat(lists.leaving(at(2))).isEmpty();
        }

        @Test
        void should_forget_a_reader_that_was_not_heard_for_long() {
            lists.record(FIRST, Set.of(SCRIBE), at(1));

            assertThat(lists.leaving(at(12))).isEmpty();
        }
    }
}
