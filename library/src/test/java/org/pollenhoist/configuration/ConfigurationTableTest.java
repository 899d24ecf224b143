package org.pollenhoist.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.PollenhoistException;

class ConfigurationTableTest {

    private final ConfigurationTable table = new ConfigurationTable();

    @Nested
    class Install {

        @Test
        void should_put_a_higher_revision_in_force() {
            assertThat(table.install(Configurations.revision(3, 100))).isEqualTo(new Installation.Installed());
            assertThat(table.install(Configurations.revision(4, 200))).isEqualTo(new Installation.Installed());
            assertThat(table.revision()).isEqualTo(4);
        }

        @Test
        void should_keep_what_is_in_force_when_the_revision_is_lower() {
            table.install(Configurations.revision(4, 200));

            assertThat(table.install(Configurations.revision(3, 100))).isEqualTo(new Installation.Older(4));
            assertThat(table.revision()).isEqualTo(4);
        }

        @Test
        void should_keep_what_is_in_force_when_the_same_revision_has_other_content() {
            InstalledConfiguration first = Configurations.revision(4, 200);
            table.install(first);

            assertThat(table.install(Configurations.revision(4, 200))).isEqualTo(new Installation.AlreadyInForce());
            assertThat(table.install(Configurations.revision(4, 300)))
                    .isEqualTo(new Installation.Contradiction(first.contentDigest()));
            assertThat(table.current()).contains(first);
        }
    }

    @Nested
    class AddListener {

        @Test
        void should_tell_each_listener_the_revisions_in_ascending_order() {
            List<Long> early = new ArrayList<>();
            List<Long> late = new ArrayList<>();
            table.addListener(revision -> early.add(revision.revision()));
            table.install(Configurations.revision(1, 100));
            table.addListener(revision -> late.add(revision.revision()));
            table.install(Configurations.revision(3, 100));
            table.install(Configurations.revision(2, 100));

            assertThat(early).containsExactly(1L, 3L);
            assertThat(late).containsExactly(1L, 3L);
        }
    }

    @Nested
    class Of {

        @Test
        void should_refuse_content_when_its_digest_is_another() {
            byte[] content = ConfigurationCodec.encode(Configurations.small());
            String actual = Digests.sha256Text(content);

            assertThatThrownBy(() -> InstalledConfiguration.of(5, "c", "00", Compression.deflate(content)))
                    .isInstanceOf(PollenhoistException.class)
                    .hasMessage("content of revision 5 has digest " + actual + ", expected 00")
                    .extracting("code")
                    .isEqualTo(ErrorCode.INVALID_CONFIGURATION);
        }
    }
}
