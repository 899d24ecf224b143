package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class StoreFollowersTest {

    private static final List<String> VMS =
            IntStream.range(0, 21).mapToObj(index -> "vm-" + index).toList();

    /** Who follows next, where all hear each other and know who follows now. */
    private static Set<String> next(List<String> alive, Set<String> following) {
        Set<String> next = new HashSet<>();
        for (String vm : alive) {
            List<StoreFollowers.Peer> peers = new ArrayList<>();
            alive.stream()
                    .filter(other -> !other.equals(vm))
                    .forEach(other -> peers.add(new StoreFollowers.Peer(other, following.contains(other))));
            if (StoreFollowers.mustFollow("north", vm, peers)) {
                next.add(vm);
            }
        }
        return next;
    }

    @Nested
    class Choice {

        @Test
        void should_fall_on_all_before_any_follows_and_then_on_two() {
            Set<String> first = next(VMS, Set.of());

            assertThat(first).hasSameSizeAs(VMS);
            assertThat(next(VMS, first)).hasSize(StoreFollowers.FOLLOWERS);
        }

        @Test
        void should_fall_on_all_at_once_when_none_of_the_two_hears_the_store() {
            assertThat(next(VMS, Set.of())).hasSameSizeAs(VMS);
        }

        @Test
        void should_keep_to_one_of_the_two_while_it_hears_the_store() {
            Set<String> two = next(VMS, new HashSet<>(VMS));
            String one = two.iterator().next();

            assertThat(next(VMS, Set.of(one))).isEqualTo(two);
        }

        @Test
        void should_move_on_when_one_is_not_heard_any_more() {
            Set<String> two = next(VMS, new HashSet<>(VMS));
            List<String> others = new ArrayList<>(VMS);
            String lost = two.iterator().next();
            others.remove(lost);

            assertThat(next(others, two)).hasSize(StoreFollowers.FOLLOWERS).doesNotContain(lost);
        }
    }
}
