package org.pollenhoist.configuration;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

@Tag("lincheck")
class ConfigurationTableLincheckTest {

    private static final InstalledConfiguration[] REVISIONS = {
        Configurations.revision(1, 100), Configurations.revision(2, 200), Configurations.revision(3, 300)
    };

    /** The table under concurrent use. */
    @Param(name = "revision", gen = IntGen.class, conf = "0:2")
    public static class Table {

        private final ConfigurationTable table = new ConfigurationTable();

        @Operation
        public String install(@Param(name = "revision") int index) {
            return table.install(REVISIONS[index]).toString();
        }

        @Operation
        public long revision() {
            return table.revision();
        }
    }

    /** The mechanism removed: the comparison and the write are two steps. */
    @Param(name = "revision", gen = IntGen.class, conf = "0:2")
    public static class TableOfTwoSteps {

        private volatile long inForce;

        @Operation
        public boolean install(@Param(name = "revision") int index) {
            long candidate = index + 1L;
            if (candidate <= inForce) {
                return false;
            }
            inForce = candidate;
            return true;
        }

        @Operation
        public long revision() {
            return inForce;
        }
    }

    @Nested
    class Install {

        @Test
        void should_be_linearizable_when_interleavings_are_explored() {
            new ModelCheckingOptions()
                    .iterations(20)
                    .invocationsPerIteration(500)
                    .check(Table.class);
        }

        @Test
        void should_be_linearizable_under_stress() {
            new StressOptions().iterations(20).invocationsPerIteration(1_000).check(Table.class);
        }

        @Test
        void should_be_told_from_a_table_that_compares_and_writes_in_two_steps() {
            assertThatThrownBy(() -> new ModelCheckingOptions()
                            .iterations(20)
                            .invocationsPerIteration(500)
                            .check(TableOfTwoSteps.class))
                    .hasMessageContaining("Invalid execution results");
        }
    }
}
