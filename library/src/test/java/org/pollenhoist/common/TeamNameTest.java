package org.pollenhoist.common;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TeamNameTest {

    @Nested
    class Of {

        @Test
        void should_keep_a_well_formed_name() {
            assertThat(TeamName.of("harbour-crews.2")).hasToString("harbour-crews.2");
        }

        @Test
        void should_name_actual_and_expected_form_when_the_name_is_malformed() {
            assertThatThrownBy(() -> TeamName.of("Harbour Crews"))
                    .isInstanceOf(PollenhoistException.class)
                    .hasMessage("TeamName is 'Harbour Crews', expected 1 to 63 of a-z, 0-9, '.', '_' and '-',"
                            + " the first one a letter or digit");
        }
    }
}
