package org.pollenhoist.serving.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
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
    private final ServiceVersions versions = new ServiceVersions(upstreams);

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

    private void list(MonotonicTime at, String... listed) {
        versions.onListed(SERVICE, new ServiceVersions.Listing(List.of(listed), StoreRevision.withoutEra(7)), at);
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

            assertThat(versions.changes(NOW))
                    .containsEntry(SERVICE, new ServiceVersions.Listing(List.of("v1"), StoreRevision.withoutEra(0)));
        }

        @Test
        void should_add_a_further_version_behind_the_others() {
            list(NOW, "v2");
            addUpstream("i-1", "v1");
            addUpstream("i-2", "v2");

            assertThat(versions.changes(NOW))
                    .containsEntry(
                            SERVICE, new ServiceVersions.Listing(List.of("v2", "v1"), StoreRevision.withoutEra(7)));
        }

        @Test
        void should_remove_a_version_when_no_stream_of_it_can_be_resumed_any_more() {
            list(NOW, "v1", "v2");
            addUpstream("i-2", "v2");
            versions.update(true, NOW);

            assertThat(versions.changes(NOW.plus(Duration.ofSeconds(60)))).isEmpty();
            versions.update(true, NOW.plus(Duration.ofSeconds(61)));
            assertThat(versions.changes(NOW.plus(Duration.ofSeconds(61))))
                    .containsEntry(SERVICE, new ServiceVersions.Listing(List.of("v2"), StoreRevision.withoutEra(7)));
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
}
