package org.pollenhoist.commandline;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PollenhoistCommandTest {

    private static final Path EXAMPLES = Path.of("..", "examples");

    @TempDir
    Path folder;

    private final StringWriter out = new StringWriter();
    private final StringWriter errors = new StringWriter();

    private int execute(String... arguments) {
        return PollenhoistCommand.execute(new PrintWriter(out, true), new PrintWriter(errors, true), arguments);
    }

    @Nested
    class Check {

        @Test
        void should_count_what_an_example_holds() {
            int exitCode = execute(
                    "check", "--output", "json", EXAMPLES.resolve("thalassa").toString());

            assertThat(exitCode).isZero();
            assertThat(out.toString().replaceAll("\\s", ""))
                    .isEqualTo("[{\"teams\":5,\"profiles\":5,\"models\":30,\"routes\":4,\"upstreams\":16}]");
        }

        @Test
        void should_accept_the_other_example() {
            int exitCode = execute("check", EXAMPLES.resolve("gulposh").toString());

            assertThat(errors).hasToString("");
            assertThat(exitCode).isZero();
            assertThat(out.toString().lines().skip(1)).containsExactly("5      5         35      4       17");
        }

        @Test
        void should_print_all_findings_when_a_file_is_not_allowed() throws IOException {
            Path file = Files.writeString(folder.resolve("fleet.toml"), "[teams.crews]\nburst_tokens = -1\n");

            int exitCode = execute("check", file.toString());

            assertThat(exitCode).isEqualTo(1);
            assertThat(errors.toString().lines())
                    .containsExactly(
                            "invalid_configuration: " + file + ": weight_store: found nothing, allowed: a table"
                                    + " [weight_store] [missing]",
                            file + ":1: teams.crews.profiles: found none, allowed: at least one profile"
                                    + " [not_allowed]",
                            file + ":1: teams.crews.tokens_per_second: found nothing, allowed: a number from 0 to"
                                    + " 1000000000000 [missing]",
                            file + ":2: teams.crews.burst_tokens: found -1, allowed: a number from 0 to"
                                    + " 1000000000000 [not_allowed]");
        }
    }

    @Nested
    class Arguments {

        @Test
        void should_ask_for_the_platform_when_a_command_needs_it() {
            int exitCode = execute("--platform", "platform.example:2379", "status");

            assertThat(exitCode).isEqualTo(2);
            assertThat(errors.toString().lines().findFirst())
                    .contains("--platform is 'platform.example:2379', expected IP:PORT, for example 127.0.0.1:2379");
        }

        @Test
        void should_exit_with_four_when_the_platform_does_not_answer() {
            int exitCode = execute("--platform", "127.0.0.1:1", "show");

            assertThat(exitCode).isEqualTo(4);
            assertThat(errors.toString()).startsWith("platform_unavailable: no answer to ");
        }

        @ParameterizedTest
        @ValueSource(strings = {"check", "apply", "show", "compare", "keys", "list", "status", "drain"})
        void should_document_the_exit_codes_of_every_command(String command) {
            int exitCode = execute(command, "--help");

            assertThat(exitCode).isZero();
            assertThat(out.toString())
                    .contains("--output=json|table")
                    .contains("7    the change was accepted and is not yet in force on all VMs");
        }
    }

    @Nested
    class Printing {

        @Test
        void should_align_the_columns_of_a_table() {
            Report.withColumns("name", "port")
                    .row("scribe-1", 1)
                    .row("b", 20)
                    .print(new PrintWriter(out, true), OutputFormat.table);

            assertThat(out.toString().lines()).containsExactly("name      port", "scribe-1  1", "b         20");
        }
    }
}
