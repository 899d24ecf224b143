package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollenhoist.serving.catalog.Team;
import org.pollenhoist.serving.peer.PeerExchange;
import org.pollenhoist.serving.upstream.Upstream;
import org.slf4j.LoggerFactory;

/**
 * Runs fleets of several sizes on a simulated clock, with the real codec and links that lose one datagram in a hundred.
 */
class DigestExchangeTest {

    private static final int TEAMS = 13;
    private static final int UPSTREAMS = 61;
    private static final long SECONDS = 10;

    /**
     * Maximum average number of datagrams that a VM may send per second, according to the target for fleets of hundreds
     * of VMs.
     */
    private static final double MAX_DATAGRAMS_PER_SECOND = 60;

    private static final double RATE = 68_000;

    /**
     * Window over which the platform's limit is checked: rate and burst plus a tenth, plus a fixed number of tokens.
     */
    private static final int WINDOW_MILLISECONDS = 8_000;

    private static final double MAX_TOKENS_IN_WINDOW = (RATE * WINDOW_MILLISECONDS / 1_000 + RATE) * 1.1 + 17_000;

    @BeforeAll
    static void raiseLogLevel() {
        ((ch.qos.logback.classic.Logger) LoggerFactory.getLogger("pollenhoist"))
                .setLevel(ch.qos.logback.classic.Level.WARN);
    }

    private static List<Team> teams() {
        return IntStream.range(0, TEAMS)
                .mapToObj(index -> new Team("team-" + index, Set.of(), OptionalInt.empty(), RATE, RATE, true, 200))
                .toList();
    }

    private static SimulatedExchange fleet(int size, int domains) {
        SimulatedExchange fleet = new SimulatedExchange(size, domains, UPSTREAMS, teams(), 1);
        fleet.run(3_000);
        return fleet;
    }

    /** Starts one request of each VM at each of ten upstreams of its failure domain. */
    private static void addLoad(SimulatedExchange fleet) {
        for (SimulatedExchange.Vm vm : fleet.vms) {
            List<Upstream> upstreams = vm.upstreams.all().stream()
                    .filter(upstream -> upstream.description().failureDomain().equals(vm.failureDomain))
                    .limit(10)
                    .toList();
            upstreams.forEach(upstream -> upstream.begin(1_000, 2_000));
        }
    }

    private static LinkRanking.Candidate candidate(SimulatedExchange.Vm vm) {
        return new LinkRanking.Candidate(vm.name, vm.linkMegabits);
    }

    @Nested
    class Load {

        private static final int WIDE = 140;
        private static final int NARROW = 7;

        @ParameterizedTest
        @CsvSource({"85, 5", "330, 16"})
        void should_stay_within_the_datagram_rate_of_the_target_at_each_vm_with_a_narrow_link(int size, int domains) {
            SimulatedExchange fleet = new SimulatedExchange(size, domains, UPSTREAMS, teams(), 1);
            fleet.vms.forEach(vm -> vm.linkMegabits = vm.index < 2 * domains ? WIDE : NARROW);
            fleet.run(3_000);
            addLoad(fleet);
            Map<SimulatedExchange.Vm, Long> before =
                    fleet.vms.stream().collect(Collectors.toMap(vm -> vm, vm -> vm.datagrams));

            fleet.run(SECONDS * 1_000);

            assertThat(fleet.vms)
                    .filteredOn(vm -> vm.linkMegabits == NARROW)
                    .allSatisfy(vm -> assertThat((double) (vm.datagrams - before.get(vm)) / SECONDS)
                            .as(vm.name)
                            .isLessThanOrEqualTo(MAX_DATAGRAMS_PER_SECOND));
        }

        @ParameterizedTest
        @CsvSource({"9, 3", "95, 5"})
        void should_stay_within_the_datagram_rate_of_the_target(int size, int domains) {
            SimulatedExchange fleet = fleet(size, domains);
            addLoad(fleet);
            long before = fleet.vms.stream().mapToLong(vm -> vm.datagrams).sum();

            fleet.run(SECONDS * 1_000);

            long sent = fleet.vms.stream().mapToLong(vm -> vm.datagrams).sum() - before;
            assertThat((double) sent / size / SECONDS).isLessThanOrEqualTo(MAX_DATAGRAMS_PER_SECOND);
        }
    }

    @Nested
    class Reporting {

        @ParameterizedTest
        @CsvSource({"9, 3", "95, 5", "330, 16"})
        void should_count_all_vms_of_the_fleet(int size, int domains) {
            SimulatedExchange fleet = fleet(size, domains);

            assertThat(fleet.vms)
                    .allSatisfy(vm -> assertThat(vm.digests.countReportingVms(PeerExchange.REPORT_TIMEOUT, fleet.now()))
                            .isEqualTo(size));
        }

        @Test
        void should_exclude_a_failure_domain_only_while_it_is_partitioned() {
            SimulatedExchange fleet = fleet(95, 5);
            SimulatedExchange.Vm vm = fleet.vms.get(0);

            fleet.partition(Set.of("domain-3"));
            fleet.run(3_000);
            assertThat(vm.digests.countReportingVms(PeerExchange.REPORT_TIMEOUT, fleet.now()))
                    .isEqualTo(76);

            fleet.partition(Set.of());
            fleet.run(2_000);
            assertThat(vm.digests.countReportingVms(PeerExchange.REPORT_TIMEOUT, fleet.now()))
                    .isEqualTo(95);
        }

        @Test
        void should_count_the_remaining_vms_when_the_representative_of_a_failure_domain_is_gone() {
            SimulatedExchange fleet = fleet(95, 5);
            SimulatedExchange.Vm receiver = fleet.vms.get(0);
            List<SimulatedExchange.Vm> domainVms = fleet.vms.stream()
                    .filter(vm -> vm.failureDomain.equals("domain-1"))
                    .toList();
            SimulatedExchange.Vm representative = domainVms.stream()
                    .filter(vm -> DomainRepresentative.isRepresentative(
                            vm.failureDomain,
                            candidate(vm),
                            domainVms.stream()
                                    .filter(other -> other != vm)
                                    .map(DigestExchangeTest::candidate)
                                    .toList()))
                    .findFirst()
                    .orElseThrow();

            representative.isAlive = false;
            fleet.run(3_500);

            assertThat(receiver.digests.countReportingVms(PeerExchange.REPORT_TIMEOUT, fleet.now()))
                    .isEqualTo(94);
        }

        @Test
        void should_include_the_load_of_other_failure_domains_on_an_upstream() {
            SimulatedExchange fleet = fleet(95, 5);
            addLoad(fleet);
            fleet.run(2_000);
            SimulatedExchange.Vm vm = fleet.vms.get(0);
            Upstream remote = vm.upstreams.find("i-%08x".formatted(1)).orElseThrow();

            assertThat(remote.load(fleet.now()).running()).isEqualTo(19);
            assertThat(remote.load(fleet.now()).tokensAwaitingPrefill()).isEqualTo(19_000);
        }
    }

    @Nested
    class Limits {

        private record Admission(long time, long tokens) {}

        private List<Admission> admit(SimulatedExchange fleet, double demand, long durationMilliseconds) {
            Team team = teams().get(0);
            List<Admission> admitted = new ArrayList<>();
            double due = 0;
            for (long elapsed = 0; elapsed < durationMilliseconds; elapsed += 10) {
                due += RATE * demand / 100;
                while (due > 0) {
                    long tokens = 500L + fleet.random().nextInt(4_000);
                    due -= tokens;
                    SimulatedExchange.Vm vm = fleet.vms.get(fleet.random().nextInt(fleet.vms.size()));
                    if (vm.limits.tryTake(team, tokens, fleet.now()).isZero()) {
                        admitted.add(new Admission(elapsed, tokens));
                    }
                }
                fleet.run(10);
            }
            return admitted;
        }

        private long maxAdmittedInWindow(List<Admission> admitted) {
            long max = 0;
            long sum = 0;
            int begin = 0;
            for (Admission last : admitted) {
                sum += last.tokens();
                while (admitted.get(begin).time() <= last.time() - WINDOW_MILLISECONDS) {
                    sum -= admitted.get(begin++).tokens();
                }
                max = Math.max(max, sum);
            }
            return max;
        }

        /** One team requests five times its rate, at randomly chosen VMs. */
        @ParameterizedTest
        @ValueSource(ints = {9, 95})
        void should_stay_within_the_limit_of_the_platform_in_every_window(int size) {
            List<Admission> admitted = admit(fleet(size, size == 9 ? 3 : 5), 5, 20_000);

            assertThat((double) maxAdmittedInWindow(admitted)).isLessThanOrEqualTo(MAX_TOKENS_IN_WINDOW);
        }

        @ParameterizedTest
        @ValueSource(ints = {9, 95})
        void should_admit_almost_all_requests_when_demand_is_below_the_rate(int size) {
            List<Admission> admitted = admit(fleet(size, size == 9 ? 3 : 5), 0.9, 20_000);

            double tokens = admitted.stream().mapToLong(Admission::tokens).sum();
            assertThat(tokens / (RATE * 20)).isGreaterThan(0.9 * 0.99);
        }

        /** One team requests five times its rate while one failure domain is partitioned for 7 s. */
        @Test
        void should_stay_within_the_limit_of_the_platform_when_a_failure_domain_is_partitioned() {
            SimulatedExchange fleet = fleet(95, 5);
            fleet.after(6_000, () -> fleet.partition(Set.of("domain-2")));
            fleet.after(13_000, () -> fleet.partition(Set.of()));

            assertThat((double) maxAdmittedInWindow(admit(fleet, 5, 20_000))).isLessThanOrEqualTo(MAX_TOKENS_IN_WINDOW);
        }
    }

    @Nested
    class Leaving {

        @Test
        void should_be_known_on_all_vms_shortly_after_the_announcement() {
            SimulatedExchange fleet = fleet(95, 5);
            SimulatedExchange.Vm first = fleet.vms.get(0);
            first.upstreams.find("i-%08x".formatted(7)).orElseThrow().markLeaving();

            first.digests.announceUpstreamNews();
            fleet.run(Duration.ofMillis(700).toMillis());

            assertThat(fleet.vms)
                    .allSatisfy(vm -> assertThat(vm.upstreams
                                    .find("i-%08x".formatted(7))
                                    .orElseThrow()
                                    .isUsable())
                            .isFalse());
        }
    }
}
