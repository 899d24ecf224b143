package org.pollenhoist.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.common.VmName;
import org.pollenhoist.limit.HomeShare;
import org.pollenhoist.limit.Parts;
import org.pollenhoist.limit.ShareSettings;
import org.pollenhoist.limit.ShareTable;
import org.pollenhoist.limit.TeamLimit;
import org.pollenhoist.vm.Peer;
import org.pollenhoist.vm.PeerMessenger;
import org.pollenhoist.vm.generated.Frame;

class ShareGateTest {

    private static final TeamName CREWS = TeamName.of("harbour-crews");
    private static final Peer FIRST = new Peer(VmName.of("lavrio-1"), FailureDomain.of("lavrio"), 1);
    private static final Peer SECOND = new Peer(VmName.of("lavrio-2"), FailureDomain.of("lavrio"), 2);
    private static final long GIVE_UP_SECONDS = 20;

    /** The everyday settings, with a patience that a busy machine does not use up: these tests are not about time. */
    private static final ShareSettings SETTINGS = new ShareSettings(
            ShareSettings.defaults().loanDuration(),
            ShareSettings.defaults().loanMargin(),
            Duration.ofSeconds(5),
            ShareSettings.defaults().demandWindow(),
            ShareSettings.defaults().statusInterval());

    private ShareGate first;
    private ShareGate second;

    /** Carries frames to the other gate on another thread, as the mesh does. */
    private final class Wire implements PeerMessenger {

        private final Peer from;
        private final Peer to;

        private Wire(Peer from, Peer to) {
            this.from = from;
            this.to = to;
        }

        @Override
        public void send(VmName receiver, Frame frame) {
            ShareGate gate = to.equals(FIRST) ? first : second;
            CompletableFuture.runAsync(() -> gate.onFrame(from, frame, MonotonicTime.read()));
        }

        @Override
        public Set<VmName> connectedPeers() {
            return Set.of(to.vm());
        }
    }

    private static ShareTable tableWithHalf(Peer self) {
        ShareTable table = ShareTable.empty(SETTINGS, self.incarnation());
        MonotonicTime filledSince = MonotonicTime.read().plus(Duration.ofHours(-1));
        MonotonicTime end = MonotonicTime.read().plus(Duration.ofHours(1));
        table.setLimits(Map.of(CREWS, new TeamLimit(1, 1000)), filledSince);
        table.setHome(new HomeShare(List.of(new HomeShare.Piece(Parts.WHOLE / 2, filledSince, end))), filledSince);
        return table;
    }

    @BeforeEach
    void connectTwoGates() {
        first = ShareGate.start(new Wire(FIRST, SECOND), tableWithHalf(FIRST), SETTINGS);
        second = ShareGate.start(new Wire(SECOND, FIRST), tableWithHalf(SECOND), SETTINGS);
        first.onConnected(SECOND, MonotonicTime.read());
        second.onConnected(FIRST, MonotonicTime.read());
    }

    @AfterEach
    void close() {
        first.close();
        second.close();
    }

    private static TokenGate.Decision decide(ShareGate gate, double tokens) throws Exception {
        return gate.admit(CREWS, tokens, MonotonicTime.read())
                .toCompletableFuture()
                .get(GIVE_UP_SECONDS, TimeUnit.SECONDS);
    }

    @Nested
    class Admit {

        @Test
        void should_admit_at_once_when_this_vm_holds_the_tokens() throws Exception {
            assertThat(decide(first, 400)).isInstanceOf(TokenGate.Decision.Admitted.class);
        }

        @Test
        void should_admit_with_the_tokens_of_a_peer_when_this_vm_lacks_some() throws Exception {
            assertThat(decide(first, 900)).isInstanceOf(TokenGate.Decision.Admitted.class);
        }

        @Test
        void should_refuse_with_the_time_to_refill_when_the_fleet_lacks_tokens() throws Exception {
            decide(first, 900);

            TokenGate.Decision decision = decide(first, 900);

            assertThat(decision).isInstanceOf(TokenGate.Decision.Refused.class);
            TokenGate.Decision.Refused refused = (TokenGate.Decision.Refused) decision;
            assertThat(refused.reason()).isEqualTo("limit_reached");
            assertThat(refused.retryAfter()).isBetween(Duration.ofSeconds(700), Duration.ofSeconds(900));
        }

        @Test
        void should_give_back_what_was_not_used() throws Exception {
            TokenGate.Decision.Admitted admitted = (TokenGate.Decision.Admitted) decide(first, 900);
            admitted.reservation().settle(0, MonotonicTime.read());

            assertThat(decide(first, 850)).isInstanceOf(TokenGate.Decision.Admitted.class);
        }
    }
}
