package org.pollenhoist.operator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.security.SecureRandom;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.configuration.Configuration;
import org.pollenhoist.configuration.Configurations;
import org.pollenhoist.configuration.Difference;
import org.pollenhoist.configuration.InstalledConfiguration;
import org.pollenhoist.configuration.KeyRecord;
import org.pollenhoist.configuration.TeamKey;
import org.pollenhoist.platform.ConfigurationStore;
import org.pollenhoist.platform.InMemoryPlatform;

class ConfigurationCommitTest {

    private final InMemoryPlatform platform = new InMemoryPlatform();
    private final ConfigurationCommit commit = new ConfigurationCommit(platform, duration -> {});
    private final KeyRecord key = TeamKey.generate(new SecureRandom()).record(TeamName.of("crews"));

    private Configuration inForce() {
        return ConfigurationStore.over(platform)
                .fetchLatest()
                .map(InstalledConfiguration::configuration)
                .orElseThrow();
    }

    @Nested
    class Apply {

        @Test
        void should_make_the_next_revision_and_tell_what_changed() {
            long first =
                    commit.apply(Configurations.small(), OptionalLong.empty()).revision();

            Committed second = commit.apply(Configurations.withRate(200), OptionalLong.of(first));

            assertThat(second.revision()).isEqualTo(2);
            assertThat(second.differences())
                    .containsExactly(new Difference("team crews", "tokensPerSecond 100.0 -> 200.0"));
            assertThat(inForce()).isEqualTo(Configurations.withRate(200));
        }

        @Test
        void should_name_both_revisions_when_another_change_came_first() {
            commit.apply(Configurations.small(), OptionalLong.empty());
            commit.apply(Configurations.withRate(200), OptionalLong.empty());

            assertThatThrownBy(() -> commit.apply(Configurations.withRate(300), OptionalLong.of(1)))
                    .isInstanceOfSatisfying(
                            ChangeRejectedException.class,
                            exception -> assertThat(exception.code()).isEqualTo(ErrorCode.REVISION_CONFLICT))
                    .hasMessage("nothing was changed: this change is for revision 1, but revision 2 is the latest");
            assertThat(inForce()).isEqualTo(Configurations.withRate(200));
        }

        @Test
        void should_tell_what_changed_when_another_change_comes_between_reading_and_writing() {
            commit.apply(Configurations.small(), OptionalLong.empty());
            InterposingPlatform interposing = new InterposingPlatform(
                    platform, () -> commit.apply(Configurations.withRate(200), OptionalLong.empty()));
            ConfigurationCommit slow = new ConfigurationCommit(interposing, duration -> {});

            assertThatThrownBy(() -> slow.apply(Configurations.withRate(300), OptionalLong.empty()))
                    .hasMessage("nothing was changed: this change is for revision 1, but revision 2 is the latest,"
                            + " which changed team crews: tokensPerSecond 100.0 -> 200.0");
            assertThat(inForce()).isEqualTo(Configurations.withRate(200));
        }

        @Test
        void should_keep_the_keys_of_teams_that_stay() {
            commit.apply(Configurations.small(), OptionalLong.empty());
            commit.giveKey(key);

            commit.apply(Configurations.withRate(200), OptionalLong.empty());

            assertThat(inForce().keys().values()).containsExactly(key);
        }

        @Test
        void should_leave_no_parts_behind_that_the_head_does_not_name() {
            commit.apply(Configurations.small(), OptionalLong.empty());
            commit.apply(Configurations.withRate(200), OptionalLong.empty());
            commit.giveKey(key);

            assertThat(platform.list("configuration/parts/").values()).hasSize(2);
        }
    }

    @Nested
    class Keys {

        @Test
        void should_give_and_withdraw_a_key_through_the_head() {
            commit.apply(Configurations.small(), OptionalLong.empty());

            Committed given = commit.giveKey(key);
            Committed withdrawn = commit.withdrawKey(key.identifier());

            assertThat(List.of(given.revision(), withdrawn.revision())).containsExactly(2L, 3L);
            assertThat(withdrawn.differences()).containsExactly(new Difference("key " + key.identifier(), "removed"));
            assertThat(inForce().keys()).isEmpty();
        }

        @Test
        void should_name_the_key_when_it_is_not_in_force() {
            commit.apply(Configurations.small(), OptionalLong.empty());

            assertThatThrownBy(() -> commit.withdrawKey("abc")).hasMessage("there is no key 'abc' in force");
        }

        @Test
        void should_make_the_change_again_when_another_change_came_first() {
            commit.apply(Configurations.small(), OptionalLong.empty());
            InterposingPlatform interposing = new InterposingPlatform(
                    platform, () -> commit.apply(Configurations.withRate(200), OptionalLong.empty()));

            Committed given = new ConfigurationCommit(interposing, duration -> {}).giveKey(key);

            assertThat(given.revision()).isEqualTo(3);
            assertThat(inForce().teams()).isEqualTo(Configurations.withRate(200).teams());
            assertThat(inForce().keys().values()).containsExactly(key);
        }
    }
}
