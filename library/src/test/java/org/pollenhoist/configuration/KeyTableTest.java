package org.pollenhoist.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.security.SecureRandom;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.TeamName;

class KeyTableTest {

    private final TeamKey key = TeamKey.generate(new SecureRandom());
    private final KeyRecord record = key.record(TeamName.of("crews"));
    private final KeyTable keys = KeyTable.of(Configurations.withKeys(Map.of(record.digest(), record)));

    @Nested
    class Find {

        @Test
        void should_find_the_team_of_a_key_in_force() {
            assertThat(keys.find(key.reveal())).contains(record);
        }

        @Test
        void should_find_nothing_when_a_digit_of_the_secret_differs() {
            char last = key.reveal().charAt(key.reveal().length() - 1);
            String other = key.reveal().substring(0, key.reveal().length() - 1) + (last == '0' ? '1' : '0');

            assertThat(keys.find(other)).isEmpty();
        }

        @Test
        void should_find_nothing_when_the_key_is_malformed() {
            assertThat(keys.find("")).isEmpty();
            assertThat(keys.find(record.digest())).isEmpty();
            assertThat(keys.find(key.reveal() + "\n")).isEmpty();
        }
    }

    @Nested
    class IsInForce {

        @Test
        void should_be_false_when_the_key_was_withdrawn() {
            KeyTable later = KeyTable.of(Configurations.small());

            assertThat(keys.isInForce(record)).isTrue();
            assertThat(later.isInForce(record)).isFalse();
        }
    }

    @Nested
    class Shown {

        @Test
        void should_hide_the_secret_except_when_it_is_revealed() {
            assertThat(key).hasToString("ph_" + key.identifier() + "_(hidden)");
            assertThat(key.reveal()).matches("ph_[0-9a-f]{12}_[0-9a-f]{64}");
            assertThat(TeamKey.parse(key.reveal()).map(TeamKey::digest)).isEqualTo(Optional.of(record.digest()));
        }
    }
}
