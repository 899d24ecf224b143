package org.pollenhoist.acceptance;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.experiments.processes.CommandResult;
import org.pollenhoist.experiments.processes.Fleet;
import org.pollenhoist.experiments.processes.FleetPlan;

/** Runs each command of the operators' start page, in its order, against a fleet. */
class StartPageTest {

    private static final Path PAGE = Path.of("..", "docs", "operators", "start.md");
    private static final Path DIRECTORY = Path.of("target", "fleets", "start-page");
    private static final String COMMAND = "bin/pollenhoist ";
    private static final Pattern KEY = Pattern.compile("ph_([0-9a-f]{12})_");

    @Nested
    class Commands {

        @Test
        void should_end_with_zero_when_run_in_the_order_of_the_page() throws IOException {
            List<String> failures = new ArrayList<>();
            String identifier = "";
            try (Fleet fleet = Fleet.start(FleetPlan.thalassa(2), DIRECTORY)) {
                for (String line : commands()) {
                    CommandResult result = fleet.command(arguments(line, identifier));
                    if (result.exitCode() != 0) {
                        failures.add(line + " ended with " + result.exitCode() + ": " + result.output());
                    }
                    Matcher key = KEY.matcher(result.output());
                    identifier = key.find() ? key.group(1) : identifier;
                }
            }

            assertThat(failures).isEmpty();
        }

        @Test
        void should_cover_every_command_when_the_command_line_has_more() throws IOException {
            assertThat(commands())
                    .extracting(line -> line.split(" ", -1)[1])
                    .contains("check", "apply", "show", "compare", "keys", "list", "status", "drain");
        }
    }

    private static List<String> commands() throws IOException {
        return Files.readAllLines(PAGE).stream()
                .filter(line -> line.startsWith(COMMAND))
                .toList();
    }

    private static String[] arguments(String line, String identifier) {
        return line.substring(COMMAND.length())
                .replace("\"$IDENTIFIER\"", identifier)
                .replace("examples/", "../examples/")
                .split(" ", -1);
    }
}
