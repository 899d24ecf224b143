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

    /**
     * Returns the next store followers, given that all VMs receive reports from each other and know the current
     * followers.
     */
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
        void should_be_all_vms_until_one_follows_and_two_afterwards() {
            Set<String> first = next(VMS, Set.of());

            assertThat(first).hasSameSizeAs(VMS);
            assertThat(next(VMS, first)).hasSize(StoreFollowers.FOLLOWERS_PER_DOMAIN);
        }

        @Test
        void should_be_all_vms_when_none_of_the_two_followers_is_up_to_date() {
            assertThat(next(VMS, Set.of())).hasSameSizeAs(VMS);
        }

        @Test
        void should_stay_the_same_two_while_one_of_them_is_up_to_date() {
            Set<String> two = next(VMS, new HashSet<>(VMS));
            String one = two.iterator().next();

            assertThat(next(VMS, Set.of(one))).isEqualTo(two);
        }

        @Test
        void should_replace_a_follower_when_no_reports_arrive_from_it() {
            Set<String> two = next(VMS, new HashSet<>(VMS));
            List<String> others = new ArrayList<>(VMS);
            String lost = two.iterator().next();
            others.remove(lost);

            assertThat(next(others, two))
                    .hasSize(StoreFollowers.FOLLOWERS_PER_DOMAIN)
                    .doesNotContain(lost);
        }
    }
}
