package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StoreFollowersTest {

    private static final int WIDE = 140;
    private static final int NARROW = 7;
    private static final int UNKNOWN = 0;

    private static final List<String> VMS = names(21);

    private static List<String> names(int count) {
        return IntStream.range(0, count).mapToObj(index -> "vm-" + index).toList();
    }

    /**
     * Returns the next store followers, given that all VMs receive reports from each other and know the current
     * followers.
     */
    private static Set<String> next(List<String> alive, Set<String> following) {
        return next(alive, following, Map.of());
    }

    /** Same, with the links in megabits per second of the VMs whose settings name one. */
    private static Set<String> next(List<String> alive, Set<String> following, Map<String, Integer> links) {
        return alive.stream()
                .filter(vm -> StoreFollowers.mustFollow(
                        "north", vm, links.getOrDefault(vm, UNKNOWN), peersOf(vm, alive, following, links)))
                .collect(Collectors.toSet());
    }

    private static List<StoreFollowers.Peer> peersOf(
            String vm, List<String> reported, Set<String> following, Map<String, Integer> links) {
        return reported.stream()
                .filter(other -> !other.equals(vm))
                .map(other ->
                        new StoreFollowers.Peer(other, following.contains(other), links.getOrDefault(other, UNKNOWN)))
                .toList();
    }

    /** Returns links of which the given VMs have wide ones and all others narrow ones. */
    private static Map<String, Integer> links(List<String> vms, Set<String> wide) {
        return vms.stream().collect(Collectors.toMap(vm -> vm, vm -> wide.contains(vm) ? WIDE : NARROW));
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

    @Nested
    class LinkWidth {

        private final List<String> vms = names(18);

        @Test
        void should_make_the_two_wide_vms_followers_among_sixteen_narrow_ones() {
            Map<Set<String>, Set<String>> followersByWide = new HashMap<>();
            for (int index = 0; index + 1 < vms.size(); index++) {
                Set<String> wide = Set.of(vms.get(index), vms.get(index + 1));
                followersByWide.put(wide, next(vms, new HashSet<>(vms), links(vms, wide)));
            }

            assertThat(followersByWide)
                    .allSatisfy((wide, followers) -> assertThat(followers).isEqualTo(wide));
        }

        @Test
        void should_make_the_wide_vm_and_the_first_narrow_one_followers_when_only_one_is_wide() {
            Set<String> ofEqualLinks = next(vms, new HashSet<>(vms));
            String wide = vms.stream()
                    .filter(vm -> !ofEqualLinks.contains(vm))
                    .findFirst()
                    .orElseThrow();
            List<String> narrow = new ArrayList<>(vms);
            narrow.remove(wide);

            assertThat(next(vms, new HashSet<>(vms), links(vms, Set.of(wide))))
                    .hasSize(StoreFollowers.FOLLOWERS_PER_DOMAIN)
                    .contains(wide)
                    .containsAnyElementsOf(next(narrow, new HashSet<>(narrow)));
        }

        @ParameterizedTest
        @ValueSource(ints = {UNKNOWN, 1, NARROW, WIDE, Integer.MAX_VALUE})
        void should_decide_nothing_when_all_links_are_equal(int megabits) {
            Map<String, Integer> equal = vms.stream().collect(Collectors.toMap(vm -> vm, vm -> megabits));

            assertThat(next(vms, new HashSet<>(vms), equal)).isEqualTo(next(vms, new HashSet<>(vms)));
        }

        @Test
        void should_decide_nothing_among_links_of_at_least_half_of_the_widest() {
            Map<String, Integer> alike = new HashMap<>();
            vms.forEach(vm -> alike.put(vm, alike.size() % 2 == 0 ? WIDE : WIDE / 2));

            assertThat(next(vms, new HashSet<>(vms), alike)).isEqualTo(next(vms, new HashSet<>(vms)));
        }

        @Test
        void should_rank_links_below_half_of_the_widest_last() {
            Map<String, Integer> links = new HashMap<>();
            vms.forEach(vm -> links.put(vm, WIDE / 2 - 1));
            links.put("vm-3", WIDE);
            links.put("vm-8", WIDE / 2);

            assertThat(next(vms, new HashSet<>(vms), links)).containsExactlyInAnyOrder("vm-3", "vm-8");
        }

        @Test
        void should_rank_peers_that_name_no_link_last() {
            assertThat(next(vms, new HashSet<>(vms), Map.of("vm-3", NARROW, "vm-8", NARROW)))
                    .containsExactlyInAnyOrder("vm-3", "vm-8");
        }

        @Test
        void should_be_taken_as_unknown_when_it_does_not_fit_a_positive_number() {
            Map<String, Integer> links = links(vms, Set.of());
            links.put("vm-3", -1);

            assertThat(next(vms, new HashSet<>(vms), links)).doesNotContain("vm-3");
        }
    }

    /** Lets VMs of different links and builds come and go. */
    @Nested
    class Changes {

        private static final int SERIES = 100;
        private static final int CHANGES = 60;
        private static final int ROUNDS_UNTIL_LEVEL = 2;

        private final List<String> alive = new ArrayList<>(names(18));
        private final Map<String, Integer> links = new HashMap<>();
        private final Set<String> earlierBuilds = new HashSet<>();
        private final Set<String> following = new HashSet<>(alive);
        private int started = alive.size();

        /** Lets each VM decide by the reports that it has, those of earlier builds by the weights alone. */
        private void decide(Random random, double lossRate) {
            Set<String> next = alive.stream()
                    .filter(vm -> {
                        List<String> reported = alive.stream()
                                .filter(other -> random.nextDouble() >= lossRate)
                                .toList();
                        Map<String, Integer> known = earlierBuilds.contains(vm) ? Map.of() : links;
                        return StoreFollowers.mustFollow(
                                "north", vm, known.getOrDefault(vm, UNKNOWN), peersOf(vm, reported, following, known));
                    })
                    .collect(Collectors.toSet());
            following.clear();
            following.addAll(next);
        }

        private void change(Random random, boolean areBuildsMixed) {
            String any = alive.get(random.nextInt(alive.size()));
            switch (random.nextInt(3)) {
                case 0 -> lose(any);
                case 1 -> following.remove(any); // It starts again.
                default -> start(random, areBuildsMixed);
            }
        }

        private void lose(String vm) {
            if (alive.size() > StoreFollowers.FOLLOWERS_PER_DOMAIN) {
                alive.remove(vm);
                following.remove(vm);
            }
        }

        private void start(Random random, boolean areBuildsMixed) {
            String vm = "vm-" + started++;
            alive.add(vm);
            if (areBuildsMixed && random.nextBoolean()) {
                earlierBuilds.add(vm);
            } else {
                links.put(vm, random.nextInt(4) == 0 ? WIDE : NARROW);
            }
        }

        private List<String> wide() {
            return alive.stream()
                    .filter(vm -> links.getOrDefault(vm, UNKNOWN) == WIDE)
                    .toList();
        }

        private void begin() {
            alive.clear();
            alive.addAll(names(18));
            links.clear();
            links.putAll(links(alive, Set.of("vm-3", "vm-8")));
            earlierBuilds.clear();
            following.clear();
            following.addAll(alive);
        }

        @Test
        void should_leave_two_followers_which_are_wide_once_reports_are_level() {
            for (int seed = 0; seed < SERIES; seed++) {
                Random random = new Random(seed);
                begin();
                for (int change = 0; change < CHANGES; change++) {
                    change(random, false);
                    for (int round = 0; round < ROUNDS_UNTIL_LEVEL; round++) {
                        decide(random, 0);
                    }

                    assertThat(following)
                            .as("seed %d, change %d", seed, change)
                            .hasSize(StoreFollowers.FOLLOWERS_PER_DOMAIN);
                    assertThat(wide().size() < 2 ? following : wide())
                            .as("seed %d, change %d", seed, change)
                            .containsAll(wide().size() < 2 ? wide() : following);
                }
            }
        }

        @Test
        void should_leave_at_least_two_followers_when_earlier_builds_name_no_link() {
            for (int seed = 0; seed < SERIES; seed++) {
                Random random = new Random(seed);
                begin();
                for (int change = 0; change < CHANGES; change++) {
                    change(random, true);
                    for (int round = 0; round < ROUNDS_UNTIL_LEVEL; round++) {
                        decide(random, 0);
                    }

                    assertThat(following)
                            .as("seed %d, change %d", seed, change)
                            .hasSizeBetween(
                                    StoreFollowers.FOLLOWERS_PER_DOMAIN, 2 * StoreFollowers.FOLLOWERS_PER_DOMAIN);
                }
            }
        }

        @Test
        void should_leave_two_followers_when_links_are_of_many_widths() {
            for (int seed = 0; seed < SERIES; seed++) {
                Random random = new Random(seed);
                begin();
                for (int change = 0; change < CHANGES; change++) {
                    change(random, false);
                    alive.forEach(vm ->
                            links.computeIfPresent(vm, (name, link) -> 1 + Math.abs(name.hashCode() % 200)));
                    for (int round = 0; round < ROUNDS_UNTIL_LEVEL; round++) {
                        decide(random, 0);
                    }

                    assertThat(following)
                            .as("seed %d, change %d", seed, change)
                            .hasSize(StoreFollowers.FOLLOWERS_PER_DOMAIN);
                }
            }
        }

        @Test
        void should_leave_at_least_two_followers_while_a_third_of_all_reports_is_missing() {
            for (int seed = 0; seed < SERIES; seed++) {
                Random random = new Random(seed);
                begin();
                for (int change = 0; change < CHANGES; change++) {
                    change(random, true);
                    decide(random, 1 / 3.0);

                    assertThat(following)
                            .as("seed %d, change %d", seed, change)
                            .hasSizeGreaterThanOrEqualTo(StoreFollowers.FOLLOWERS_PER_DOMAIN);
                }
            }
        }
    }

    /** Lets VMs exchange serialized digests and watch a simulated store. */
    @Nested
    class Fleet {

        private static final int SIZE = 36;
        private static final int DOMAINS = 2;
        private static final int SETTLING_MILLISECONDS = 5_000;

        private final StoreFleet fleet = new StoreFleet(SIZE, DOMAINS, Duration.ofSeconds(3), 1);

        private List<StoreFleet.Vm> watching() {
            return fleet.vms.stream().filter(StoreFleet.Vm::isWatching).toList();
        }

        @Test
        void should_watch_the_store_through_the_wide_vms_of_each_domain() {
            List<StoreFleet.Vm> wide = fleet.vms.subList(4, 8);
            fleet.vms.forEach(vm -> vm.linkMegabits = wide.contains(vm) ? WIDE : NARROW);

            fleet.run(SETTLING_MILLISECONDS);

            assertThat(watching()).containsExactlyInAnyOrderElementsOf(wide);
        }

        @Test
        void should_watch_the_store_through_narrow_vms_while_the_wide_ones_are_away() {
            List<StoreFleet.Vm> wide = fleet.vms.subList(4, 8);
            fleet.vms.forEach(vm -> vm.linkMegabits = wide.contains(vm) ? WIDE : NARROW);
            fleet.run(SETTLING_MILLISECONDS);

            wide.forEach(vm -> vm.kill(2L * SETTLING_MILLISECONDS));
            fleet.run(SETTLING_MILLISECONDS);

            assertThat(watching()).hasSize(wide.size()).doesNotContainAnyElementsOf(wide);

            fleet.run(2 * SETTLING_MILLISECONDS);

            assertThat(watching()).containsExactlyInAnyOrderElementsOf(wide);
        }
    }
}
