package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.peer.PeerExchange;
import org.pollenhoist.serving.placement.Leadership;
import org.pollenhoist.serving.store.StoreChanges;
import org.pollenhoist.serving.store.StoreEras;
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.store.StoreRevision;
import org.pollenhoist.vm.generated.ServiceVersionListing;
import org.pollenhoist.vm.generated.StoreRelay;
import org.pollenhoist.vm.generated.VmDigest;

/**
 * Reads messages that were written by the build of commit a2ee81d, which names no era of the store. Guards against an
 * absent era that is taken for one.
 */
class EarlierBuildTest {

    private static final MonotonicTime NOW = MonotonicTime.of(Duration.ofSeconds(100));

    private final StoreEras eras = new StoreEras();

    private static byte[] message(String name) {
        try (InputStream stored = EarlierBuildTest.class.getResourceAsStream("/earlier-build/" + name)) {
            return stored.readAllBytes();
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }

    @Nested
    class Digest {

        @Test
        void should_name_no_era_and_no_fencing_token() throws IOException {
            VmDigest digest = VmDigest.parseFrom(message("digest.bin"));

            assertThat(digest.getStoreRevision()).isEqualTo(51);
            assertThat(digest.hasStoreEra()).isFalse();
            assertThat(digest.getHighestFencingToken()).isZero();
        }

        @Test
        void should_change_nothing_about_the_configuration_that_this_vm_may_lack() throws IOException {
            PeerExchange peers =
                    new PeerExchange((datagram, receivers) -> {}, () -> NOW, "vm-9", report -> {}, datagram -> {});
            InetSocketAddress sender = new InetSocketAddress(1);
            VmDigest digest = VmDigest.parseFrom(message("digest.bin"));
            ConfigurationStanding standing = new ConfigurationStanding(
                    () -> new StoreRevision(3, 40), () -> new StoreRevision(3, 40), now -> false, eras, peers);
            eras.observe(3, "store");

            peers.receive(digest.toByteArray(), sender);
            // The build of commit 164e2f0 names the era, and no configuration either.
            peers.receive(
                    digest.toBuilder().setVmName("vm-8").setStoreEra(3).build().toByteArray(), sender);
            standing.update(NOW);

            assertThat(peers.recentReports(NOW)).hasSize(2);
            assertThat(standing.mayLackConfiguration(NOW)).isFalse();
        }

        @Test
        void should_resign_a_claim_of_the_current_era_when_the_era_has_not_changed() throws IOException {
            eras.observe(3, "store");

            assertThat(DigestCodec.resignation(VmDigest.parseFrom(message("digest.bin")), eras, NOW))
                    .contains(new Leadership.Resignation(
                            new StoreRevision(3, 48), Optional.of(NOW.plus(Duration.ofMillis(-700)))));
        }

        @Test
        void should_resign_no_claim_when_the_era_has_changed() throws IOException {
            eras.observe(3, "store");
            eras.observe(4, "store");

            assertThat(DigestCodec.resignation(VmDigest.parseFrom(message("digest.bin")), eras, NOW))
                    .isEmpty();
        }
    }

    @Nested
    class Relay {

        @Test
        void should_be_of_the_era_that_the_receiver_knows() throws IOException {
            StoreChanges changes = StoreRelayExchange.fromMessage(StoreRelay.parseFrom(message("relay.bin")), 3);

            assertThat(changes.revision()).isEqualTo(new StoreRevision(3, 51));
            assertThat(changes.items()).extracting(StoreItem::revision).containsExactly(new StoreRevision(3, 50));
            assertThat(changes.removals()).extracting(StoreItem::key).containsExactly("servers/i-1");
        }

        @Test
        void should_keep_its_own_era_when_it_names_one() {
            StoreRelay written = StoreRelayServer.toMessage(
                    new StoreChanges(new StoreRevision(4, 9), List.of(), List.of(), true, Duration.ZERO));

            assertThat(StoreRelayExchange.fromMessage(written, 3).revision()).isEqualTo(new StoreRevision(4, 9));
        }
    }

    /** The listing was written by commit 2c739ef. */
    @Nested
    class Listing {

        @Test
        void should_name_no_era() throws IOException {
            ServiceVersionListing listing = ServiceVersionListing.parseFrom(message("listing.bin"));

            assertThat(listing.getSoftwareVersionsList()).containsExactly("v1", "v1.1");
            assertThat(listing.hasStoreEra()).isFalse();
        }
    }
}
