package org.pollenhoist.serving.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.store.StoreRevision;
import org.pollenhoist.serving.upstream.UpstreamDescription;
import org.pollenhoist.serving.upstream.UpstreamTable;

class ServiceVersionsTest {

    private static final MonotonicTime NOW = MonotonicTime.of(Duration.ofSeconds(100));
    private static final MonotonicTime LATER = NOW.plus(Duration.ofSeconds(3));
    private static final String SERVICE = "llm";

    private final UpstreamTable upstreams = new UpstreamTable();
    private long era;
    private final ServiceVersions versions = new ServiceVersions(upstreams, () -> era, true);

    private ServiceVersionsTest() {
        versions.update(true, NOW);
    }

    private void addUpstream(String identifier, String version) {
        upstreams.put(
                new UpstreamDescription(
                        identifier,
                        1,
                        SERVICE,
                        version,
                        new InetSocketAddress(1),
                        "north",
                        4,
                        false,
                        0,
                        List.of(),
                        Set.of()),
                NOW);
    }

    private ServiceVersions.Listing listing(long revision, String... listed) {
        return new ServiceVersions.Listing(List.of(listed), new StoreRevision(era, revision), OptionalLong.of(era));
    }

    private void list(MonotonicTime at, String... listed) {
        versions.onListed(SERVICE, listing(7, listed), at);
    }

    @Nested
    class Admissible {

        @Test
        void should_not_restrict_a_service_of_one_version() {
            addUpstream("i-1", "v1");
            list(NOW, "v1");

            assertThat(versions.admissible(SERVICE, NOW)).isEmpty();
        }

        @Test
        void should_leave_a_further_version_out_until_all_vms_know_that_it_is_listed() {
            addUpstream("i-1", "v1");
            list(NOW, "v1");
            addUpstream("i-2", "v2");

            assertThat(versions.admissible(SERVICE, LATER)).containsExactly("v1");
            list(LATER, "v1", "v2");
            assertThat(versions.admissible(SERVICE, LATER.plus(Duration.ofMillis(2_999))))
                    .containsExactly("v1");
            assertThat(versions.admissible(SERVICE, LATER.plus(Duration.ofSeconds(3))))
                    .containsExactlyInAnyOrder("v1", "v2");
        }

        @Test
        void should_prefer_the_version_that_was_listed_first_when_this_vm_has_just_started() {
            addUpstream("i-1", "v1");
            addUpstream("i-2", "v2");
            list(NOW, "v1", "v2");

            assertThat(versions.admissible(SERVICE, NOW)).containsExactly("v1");
        }

        @Test
        void should_allow_the_only_version_that_has_upstreams() {
            addUpstream("i-2", "v2");
            list(NOW, "v1");

            assertThat(versions.admissible(SERVICE, NOW)).isEmpty();
        }
    }

    @Nested
    class Only {

        @Test
        void should_be_the_listed_version_although_a_further_one_has_come() {
            addUpstream("i-1", "v1");
            addUpstream("i-2", "v2");
            list(NOW, "v1");

            assertThat(versions.only(SERVICE)).contains("v1");
        }

        @Test
        void should_be_unknown_when_several_are_listed_or_none() {
            addUpstream("i-2", "v2");

            assertThat(versions.only(SERVICE)).isEmpty();
            list(NOW, "v1", "v2");
            assertThat(versions.only(SERVICE)).isEmpty();
        }
    }

    @Nested
    class Changes {

        @Test
        void should_list_the_versions_of_a_service_that_has_no_listing() {
            addUpstream("i-1", "v1");

            assertThat(versions.changes(NOW)).containsEntry(SERVICE, listing(0, "v1"));
        }

        @Test
        void should_add_a_further_version_behind_the_others() {
            list(NOW, "v2");
            addUpstream("i-1", "v1");
            addUpstream("i-2", "v2");

            assertThat(versions.changes(NOW)).containsEntry(SERVICE, listing(7, "v2", "v1"));
        }

        @Test
        void should_remove_a_version_when_no_stream_of_it_can_be_resumed_any_more() {
            list(NOW, "v1", "v2");
            addUpstream("i-2", "v2");
            versions.update(true, NOW);

            assertThat(versions.changes(NOW.plus(Duration.ofSeconds(60)))).isEmpty();
            versions.update(true, NOW.plus(Duration.ofSeconds(61)));
            assertThat(versions.changes(NOW.plus(Duration.ofSeconds(61)))).containsEntry(SERVICE, listing(7, "v2"));
        }

        @Test
        void should_keep_a_version_whose_upstreams_may_have_been_missed() {
            list(NOW, "v1", "v2");
            addUpstream("i-2", "v2");
            versions.update(true, NOW);
            versions.update(false, NOW.plus(Duration.ofSeconds(30)));
            versions.update(true, NOW.plus(Duration.ofSeconds(61)));

            assertThat(versions.changes(NOW.plus(Duration.ofSeconds(61)))).isEmpty();
        }
    }

    /** Guards against versions that are forgotten because the store's copy does not list them. */
    @Nested
    class OlderCopy {

        private static final MonotonicTime RETURN = NOW.plus(Duration.ofSeconds(10));

        private void comeBackFromCopyListing(String... listed) {
            ServiceVersions.Listing copied = listing(5, listed);
            versions.onNewEra(true, RETURN);
            era++;
            versions.onListed(
                    SERVICE,
                    new ServiceVersions.Listing(copied.versions(), new StoreRevision(era, 5), copied.era()),
                    RETURN);
            versions.update(true, RETURN);
        }

        @Test
        void should_not_make_its_version_the_only_one() {
            addUpstream("i-1", "v1");
            list(NOW, "v1", "v2");

            comeBackFromCopyListing("v1");

            assertThat(versions.only(SERVICE)).isEmpty();
            assertThat(versions.isMixed(SERVICE)).isTrue();
        }

        @Test
        void should_not_make_its_version_the_only_one_at_a_vm_that_has_just_started() {
            ServiceVersions started = new ServiceVersions(upstreams, () -> 1, false);
            addUpstream("i-1", "v1");
            started.onListed(
                    SERVICE,
                    new ServiceVersions.Listing(List.of("v1"), new StoreRevision(1, 5), OptionalLong.of(0)),
                    RETURN);
            started.update(true, RETURN);

            assertThat(started.only(SERVICE)).isEmpty();
            assertThat(started.changes(RETURN)).isEmpty();
        }

        @Test
        void should_be_replaced_by_all_known_versions_once_upstreams_had_time_to_return() {
            addUpstream("i-1", "v1");
            list(NOW, "v1", "v2");

            comeBackFromCopyListing("v1");

            versions.update(true, RETURN.plus(Duration.ofMillis(2_499)));
            assertThat(versions.changes(RETURN.plus(Duration.ofMillis(2_499)))).isEmpty();
            versions.update(true, RETURN.plus(Duration.ofMillis(2_500)));
            assertThat(versions.changes(RETURN.plus(Duration.ofMillis(2_500))))
                    .containsEntry(SERVICE, listing(5, "v1", "v2"));
        }

        @Test
        void should_be_confirmed_when_it_lists_all_versions() {
            addUpstream("i-1", "v1");
            list(NOW, "v1");

            comeBackFromCopyListing("v1");
            versions.update(true, RETURN.plus(Duration.ofSeconds(3)));

            assertThat(versions.changes(RETURN.plus(Duration.ofSeconds(3)))).containsEntry(SERVICE, listing(5, "v1"));
            list(RETURN.plus(Duration.ofSeconds(3)), "v1");
            assertThat(versions.only(SERVICE)).contains("v1");
            assertThat(versions.changes(RETURN.plus(Duration.ofSeconds(3)))).isEmpty();
        }

        @Test
        void should_leave_a_version_in_use_that_was_in_use_before() {
            addUpstream("i-1", "v1");
            addUpstream("i-2", "v2");
            list(NOW, "v1", "v2");

            comeBackFromCopyListing("v1");

            assertThat(versions.admissible(SERVICE, RETURN)).containsExactlyInAnyOrder("v1", "v2");
        }

        @Test
        void should_delay_a_version_that_was_not_in_use_yet() {
            addUpstream("i-1", "v1");
            addUpstream("i-2", "v2");
            list(NOW, "v1");
            list(RETURN.plus(Duration.ofSeconds(-1)), "v1", "v2");

            comeBackFromCopyListing("v1");

            assertThat(versions.admissible(SERVICE, RETURN.plus(Duration.ofSeconds(3))))
                    .containsExactly("v1");
        }

        @Test
        void should_take_no_version_away_when_it_has_no_listing() {
            addUpstream("i-1", "v1");
            list(NOW, "v1", "v2");
            versions.onNewEra(true, RETURN);
            era++;

            versions.onRemoved(SERVICE);

            assertThat(versions.only(SERVICE)).isEmpty();
            versions.update(true, RETURN);
            versions.update(true, RETURN.plus(Duration.ofSeconds(3)));
            assertThat(versions.changes(RETURN.plus(Duration.ofSeconds(3))))
                    .containsEntry(
                            SERVICE,
                            new ServiceVersions.Listing(List.of("v1", "v2"), StoreRevision.NONE, OptionalLong.of(era)));
        }

        @Test
        void should_let_a_listing_of_the_new_era_take_a_version_away() {
            addUpstream("i-1", "v1");
            list(NOW, "v1", "v2");
            comeBackFromCopyListing("v1");

            list(RETURN, "v1", "v2");
            list(RETURN, "v1");

            assertThat(versions.only(SERVICE)).contains("v1");
        }

        @Test
        void should_not_be_confirmed_by_an_earlier_build() {
            ServiceVersions started = new ServiceVersions(upstreams, () -> 0, false);
            addUpstream("i-1", "v1");
            started.onListed(
                    SERVICE,
                    new ServiceVersions.Listing(List.of("v1"), StoreRevision.withoutEra(5), OptionalLong.empty()),
                    NOW);

            assertThat(started.only(SERVICE)).isEmpty();
            started.update(true, NOW);
            started.update(true, NOW.plus(Duration.ofSeconds(5)));
            assertThat(started.changes(NOW.plus(Duration.ofSeconds(5)))).containsEntry(SERVICE, listing(5, "v1"));
        }
    }
}
