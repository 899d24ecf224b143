package org.pollenhoist.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.configuration.Model;
import org.pollenhoist.configuration.WeightStoreLimits;

class DemandDrivenPolicyTest {

    private static final Model BERTH = Samples.model("berth", "1", 40);
    private static final Model SCRIBE = Samples.model("scribe", "1", 40);
    private static final MonotonicTime NOW = Samples.seconds(1000);

    private final DemandDrivenPolicy policy = new DemandDrivenPolicy(PolicySettings.standard());

    private List<Move> moves(DomainState state) {
        PolicyMemory settled =
                policy.decide(state, PolicyMemory.none(), Samples.seconds(0)).memory();
        return policy.decide(state, settled, NOW).moves();
    }

    @Nested
    class RequiredCopies {

        @Test
        void should_load_a_first_copy_when_none_answers() {
            DomainState state =
                    Samples.state(List.of(BERTH), Map.of(BERTH.name(), 1), Map.of(), Samples.holding("scribe-1", 50));

            assertThat(moves(state))
                    .containsExactly(new Move.Load(
                            UpstreamName.of("scribe-1"),
                            Samples.item("berth"),
                            40,
                            Move.Reason.NO_COPY,
                            Samples.seconds(0)));
        }

        @Test
        void should_not_evict_the_last_copy_when_another_model_has_none() {
            DomainState state = Samples.state(
                    List.of(BERTH, SCRIBE),
                    Map.of(BERTH.name(), 1, SCRIBE.name(), 1),
                    Map.of(),
                    Samples.holding("scribe-1", 50, SCRIBE));

            assertThat(moves(state)).isEmpty();
        }

        @Test
        void should_evict_a_spare_copy_when_another_model_has_none() {
            DomainState state = Samples.state(
                    List.of(BERTH, SCRIBE),
                    Map.of(BERTH.name(), 1, SCRIBE.name(), 2),
                    Map.of(),
                    Samples.holding("scribe-1", 50, SCRIBE),
                    Samples.holding("scribe-2", 50, SCRIBE));

            assertThat(moves(state))
                    .containsExactly(
                            new Move.Unload(UpstreamName.of("scribe-1"), Samples.item("scribe"), Move.Reason.EVICTED));
        }

        @Test
        void should_keep_the_old_version_when_the_new_one_does_not_answer_yet() {
            Model newVersion = Samples.model("berth", "2", 40);
            DomainState state = Samples.state(
                    List.of(newVersion),
                    Map.of(BERTH.name(), 1),
                    Map.of(),
                    Samples.holding("scribe-1", 50, BERTH),
                    Samples.holding("scribe-2", 50));

            assertThat(moves(state)).singleElement().satisfies(move -> {
                assertThat(move).isInstanceOf(Move.Load.class);
                assertThat(move.upstream()).isEqualTo(UpstreamName.of("scribe-2"));
                assertThat(move.reason()).isEqualTo(Move.Reason.NEW_VERSION);
            });
        }
    }

    @Nested
    class CopiesForDemand {

        @Test
        void should_add_a_copy_when_demand_exceeds_what_the_copies_serve() {
            DomainState state = Samples.state(
                    List.of(BERTH),
                    Map.of(BERTH.name(), 1),
                    Map.of(BERTH.name(), 50.0),
                    Samples.holding("scribe-1", 50, BERTH),
                    Samples.holding("scribe-2", 50));

            assertThat(moves(state)).extracting(Move::reason).containsExactly(Move.Reason.DEMAND);
        }

        @Test
        void should_make_no_move_when_the_gain_is_below_the_price() {
            DomainState state = Samples.state(
                    List.of(BERTH),
                    Map.of(BERTH.name(), 1),
                    Map.of(BERTH.name(), 27.0),
                    Samples.holding("scribe-1", 50, BERTH),
                    Samples.holding("scribe-2", 50));

            assertThat(moves(state)).isEmpty();
        }
    }

    @Nested
    class Homes {

        @Test
        void should_give_each_model_two_domains_when_memory_allows() {
            HomeDomains homes = HomeDomains.of(
                    List.of(BERTH, SCRIBE),
                    List.of(
                            Samples.engine("a", "piraeus", 100, true),
                            Samples.engine("b", "lavrio", 100, true),
                            Samples.engine("c", "rafina", 100, true)));

            int copies = 0;
            for (String domain : List.of("piraeus", "lavrio", "rafina")) {
                Map<ModelName, Integer> required = homes.requiredCopies(FailureDomain.of(domain));
                copies += required.values().stream().mapToInt(Integer::intValue).sum();
                assertThat(required.values()).allMatch(count -> count == 1);
            }
            assertThat(copies).isEqualTo(4);
        }
    }

    @Nested
    class StoreShares {

        @Test
        void should_add_up_to_the_whole_when_divided_over_domains() {
            TreeSet<FailureDomain> domains = new TreeSet<>(
                    List.of(FailureDomain.of("piraeus"), FailureDomain.of("lavrio"), FailureDomain.of("rafina")));
            int loads = 0;
            for (FailureDomain domain : domains) {
                loads += StoreShare.of(new WeightStoreLimits(2, 17, 140), domains, domain)
                        .modelLoadsInFlight();
            }

            assertThat(loads).isEqualTo(17);
        }
    }
}
