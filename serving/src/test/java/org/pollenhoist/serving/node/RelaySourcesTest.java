package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.peer.PeerReport;
import org.pollenhoist.vm.generated.VmDigest;

/** Guards against VMs that all ask the same peer for what they lack, and wear out its link. */
class RelaySourcesTest {

    private static final MonotonicTime NOW = MonotonicTime.of(Duration.ofSeconds(100));
    private static final PeerReport FIRST_WATCHER = report("watcher-1", "north", 8, true);
    private static final PeerReport SECOND_WATCHER = report("watcher-2", "north", 9, true);
    private static final PeerReport NEIGHBOR = report("neighbor", "north", 9, false);
    private static final PeerReport FARTHEST = report("watcher-3", "south", 10, true);

    private final RelaySources sources = new RelaySources("north", "vm-1");

    private static PeerReport report(String vm, String failureDomain, long revision, boolean watches) {
        VmDigest digest = VmDigest.newBuilder()
                .setVmName(vm)
                .setFailureDomain(failureDomain)
                .setStoreRevision(revision)
                .setStoreEra(1)
                .setFollowsStore(watches)
                .build();
        return new PeerReport(new InetSocketAddress(InetAddress.getLoopbackAddress(), 7), digest, NOW);
    }

    private static String choice(RelaySources sources, List<PeerReport> ahead, boolean mayLeaveDomain) {
        return sources.choose(ahead, mayLeaveDomain, NOW)
                .map(report -> report.digest().getVmName())
                .orElse("none");
    }

    @Nested
    class Choice {

        @Test
        void should_spread_the_vms_of_a_failure_domain_over_its_watchers() {
            Set<String> chosen = IntStream.range(0, 17)
                    .mapToObj(index -> new RelaySources("north", "vm-" + index))
                    .map(each -> choice(each, List.of(FIRST_WATCHER, SECOND_WATCHER, NEIGHBOR, FARTHEST), false))
                    .collect(Collectors.toSet());

            assertThat(chosen).containsExactlyInAnyOrder("watcher-1", "watcher-2");
        }

        @Test
        void should_stay_in_the_failure_domain_when_a_vm_of_another_one_is_further_ahead() {
            assertThat(choice(sources, List.of(FARTHEST, NEIGHBOR), false)).isEqualTo("neighbor");
        }

        @Test
        void should_leave_the_failure_domain_when_none_of_it_is_ahead() {
            assertThat(choice(sources, List.of(FARTHEST), false)).isEqualTo("watcher-3");
        }

        @Test
        void should_be_none_when_no_peer_is_ahead() {
            assertThat(choice(sources, List.of(), true)).isEqualTo("none");
        }
    }

    @Nested
    class BusyPeer {

        @Test
        void should_not_be_asked_for_a_while() {
            sources.recordBusy("watcher-1", NOW);

            assertThat(choice(sources, List.of(FIRST_WATCHER, NEIGHBOR), false)).isEqualTo("neighbor");
            assertThat(sources.choose(List.of(FIRST_WATCHER, NEIGHBOR), false, NOW.plus(RelaySources.BUSY_PERIOD)))
                    .contains(FIRST_WATCHER);
        }

        @Test
        void should_be_waited_for_rather_than_that_another_failure_domain_is_asked() {
            sources.recordBusy("watcher-1", NOW);

            assertThat(choice(sources, List.of(FIRST_WATCHER, FARTHEST), false)).isEqualTo("none");
        }

        @Test
        void should_not_be_waited_for_when_this_vm_has_been_behind_for_long() {
            sources.recordBusy("watcher-1", NOW);

            assertThat(choice(sources, List.of(FIRST_WATCHER, FARTHEST), true)).isEqualTo("watcher-3");
        }
    }

    @Nested
    class FailedPeer {

        @Test
        void should_come_after_all_others() {
            sources.recordFailure("watcher-1", NOW);

            assertThat(choice(sources, List.of(FIRST_WATCHER, FARTHEST), false)).isEqualTo("watcher-3");
        }

        @Test
        void should_be_asked_again_when_there_is_no_other() {
            sources.recordFailure("watcher-1", NOW);

            assertThat(choice(sources, List.of(FIRST_WATCHER), false)).isEqualTo("watcher-1");
        }
    }
}
