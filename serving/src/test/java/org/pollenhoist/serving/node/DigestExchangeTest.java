package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
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

/** Fleets of several sizes on a simulated clock, with the real codec and links that lose one datagram in a hundred. */
class DigestExchangeTest {

    private static final int TEAMS = 13;
    private static final int UPSTREAMS = 61;
    private static final long SECONDS = 10;

    /** Datagrams that a VM may send in a second on average, by the target for hundreds of VMs. */
    private static final double DATAGRAMS_A_SECOND = 60;

    private static final double RATE = 68_000;

    /** The platform's bound over any window: a tenth and a fixed number of tokens beyond rate and burst. */
    private static final int WINDOW_MILLISECONDS = 8_000;

    private static final double WINDOW_LIMIT = (RATE * WINDOW_MILLISECONDS / 1_000 + RATE) * 1.1 + 17_000;

    @BeforeAll
    static void quieten() {
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

    /** Each VM has some requests at ten upstreams of its failure domain, which change all the time. */
    private static void use(SimulatedExchange fleet) {
        for (SimulatedExchange.Vm vm : fleet.vms) {
            List<Upstream> near = vm.upstreams.all().stream()
                    .filter(upstream -> upstream.description().failureDomain().equals(vm.failureDomain))
                    .limit(10)
                    .toList();
            near.forEach(upstream -> upstream.begin(1_000, 2_000));
        }
    }

    @Nested
    class Load {

        @ParameterizedTest
        @CsvSource({"9, 3", "95, 5"})
        void should_stay_within_the_datagrams_that_a_vm_may_send(int size, int domains) {
            SimulatedExchange fleet = fleet(size, domains);
            use(fleet);
            long before = fleet.vms.stream().mapToLong(vm -> vm.datagrams).sum();

            fleet.run(SECONDS * 1_000);

            long sent = fleet.vms.stream().mapToLong(vm -> vm.datagrams).sum() - before;
            assertThat((double) sent / size / SECONDS).isLessThanOrEqualTo(DATAGRAMS_A_SECOND);
        }
    }

    @Nested
    class Hearing {

        @ParameterizedTest
        @CsvSource({"9, 3", "95, 5", "330, 16"})
        void should_cover_the_whole_fleet(int size, int domains) {
            SimulatedExchange fleet = fleet(size, domains);

            assertThat(fleet.vms)
                    .allSatisfy(vm -> assertThat(vm.digests.countHeard(PeerExchange.HEARD_FOR, fleet.now()))
                            .isEqualTo(size));
        }

        @Test
        void should_miss_a_failure_domain_that_is_cut_off_and_find_it_again() {
            SimulatedExchange fleet = fleet(95, 5);
            SimulatedExchange.Vm vm = fleet.vms.get(0);

            fleet.cut(Set.of("domain-3"));
            fleet.run(3_000);
            assertThat(vm.digests.countHeard(PeerExchange.HEARD_FOR, fleet.now()))
                    .isEqualTo(76);

            fleet.cut(Set.of());
            fleet.run(2_000);
            assertThat(vm.digests.countHeard(PeerExchange.HEARD_FOR, fleet.now()))
                    .isEqualTo(95);
        }

        @Test
        void should_go_on_when_the_vm_that_speaks_for_a_failure_domain_is_gone() {
            SimulatedExchange fleet = fleet(95, 5);
            SimulatedExchange.Vm listener = fleet.vms.get(0);
            List<SimulatedExchange.Vm> others = fleet.vms.stream()
                    .filter(vm -> vm.failureDomain.equals("domain-1"))
                    .toList();
            SimulatedExchange.Vm speaker = others.stream()
                    .filter(vm -> DomainSpeaker.isSpeaker(
                            vm.failureDomain,
                            vm.name,
                            others.stream()
                                    .filter(other -> other != vm)
                                    .map(other -> other.name)
                                    .toList()))
                    .findFirst()
                    .orElseThrow();

            speaker.isAlive = false;
            fleet.run(3_500);

            assertThat(listener.digests.countHeard(PeerExchange.HEARD_FOR, fleet.now()))
                    .isEqualTo(94);
        }

        @Test
        void should_show_the_load_that_other_failure_domains_give_an_upstream() {
            SimulatedExchange fleet = fleet(95, 5);
            use(fleet);
            fleet.run(2_000);
            SimulatedExchange.Vm vm = fleet.vms.get(0);
            Upstream far = vm.upstreams.find("i-%08x".formatted(1)).orElseThrow();

            assertThat(far.load(fleet.now()).running()).isEqualTo(19);
            assertThat(far.load(fleet.now()).tokensAwaitingPrefill()).isEqualTo(19_000);
        }
    }

    @Nested
    class Limits {

        private record Admission(long time, long tokens) {}

        private List<Admission> ask(SimulatedExchange fleet, double demand, long length) {
            Team team = teams().get(0);
            List<Admission> admitted = new ArrayList<>();
            double due = 0;
            for (long passed = 0; passed < length; passed += 10) {
                due += RATE * demand / 100;
                while (due > 0) {
                    long tokens = 500L + fleet.random().nextInt(4_000);
                    due -= tokens;
                    SimulatedExchange.Vm vm = fleet.vms.get(fleet.random().nextInt(fleet.vms.size()));
                    if (vm.limits.tryTake(team, tokens, fleet.now()).isZero()) {
                        admitted.add(new Admission(passed, tokens));
                    }
                }
                fleet.run(10);
            }
            return admitted;
        }

        private long mostInWindow(List<Admission> admitted) {
            long most = 0;
            long sum = 0;
            int begin = 0;
            for (Admission last : admitted) {
                sum += last.tokens();
                while (admitted.get(begin).time() <= last.time() - WINDOW_MILLISECONDS) {
                    sum -= admitted.get(begin++).tokens();
                }
                most = Math.max(most, sum);
            }
            return most;
        }

        /** One team asks five times its rate, wherever it lands. */
        @ParameterizedTest
        @ValueSource(ints = {9, 95})
        void should_stay_within_the_platforms_bound_in_every_window(int size) {
            List<Admission> admitted = ask(fleet(size, size == 9 ? 3 : 5), 5, 20_000);

            assertThat((double) mostInWindow(admitted)).isLessThanOrEqualTo(WINDOW_LIMIT);
        }

        @ParameterizedTest
        @ValueSource(ints = {9, 95})
        void should_refuse_little_inside_the_rate(int size) {
            List<Admission> admitted = ask(fleet(size, size == 9 ? 3 : 5), 0.9, 20_000);

            double tokens = admitted.stream().mapToLong(Admission::tokens).sum();
            assertThat(tokens / (RATE * 20)).isGreaterThan(0.9 * 0.99);
        }

        /** The same while a failure domain is cut off for a while. */
        @Test
        void should_stay_within_the_platforms_bound_through_a_cut() {
            SimulatedExchange fleet = fleet(95, 5);
            fleet.after(6_000, () -> fleet.cut(Set.of("domain-2")));
            fleet.after(13_000, () -> fleet.cut(Set.of()));

            assertThat((double) mostInWindow(ask(fleet, 5, 20_000))).isLessThanOrEqualTo(WINDOW_LIMIT);
        }
    }

    @Nested
    class Leaving {

        @Test
        void should_be_known_on_all_vms_at_once() {
            SimulatedExchange fleet = fleet(95, 5);
            SimulatedExchange.Vm first = fleet.vms.get(0);
            first.upstreams.find("i-%08x".formatted(7)).orElseThrow().markLeaving();

            first.digests.announceLeaving();
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
