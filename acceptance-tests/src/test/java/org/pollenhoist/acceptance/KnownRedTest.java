package org.pollenhoist.acceptance;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** CI passes over the scenarios tagged {@code @known-red} and over no others; each one stands in the list. */
class KnownRedTest {

    private static final Path LIST = Path.of("..", "KNOWN-RED.txt");
    private static final Path SCENARIOS = Path.of("src", "test", "resources", "scenarios");
    private static final String TAG = "@known-red";
    private static final String ENTRY = "test:";

    @Nested
    class Entries {

        @Test
        void should_name_exactly_the_tagged_scenarios_when_ci_passes_over_them() throws IOException {
            assertThat(listed()).containsExactlyInAnyOrderElementsOf(tagged());
        }
    }

    private static List<String> listed() throws IOException {
        return Files.readAllLines(LIST).stream()
                .filter(line -> line.startsWith(ENTRY))
                .map(line -> line.substring(ENTRY.length()).strip())
                .toList();
    }

    private static List<String> tagged() throws IOException {
        List<String> names = new ArrayList<>();
        try (Stream<Path> files = Files.list(SCENARIOS)) {
            for (Path file : files.toList()) {
                addTagged(Files.readAllLines(file), names);
            }
        }
        return names;
    }

    private static void addTagged(List<String> lines, List<String> names) {
        for (int index = 1; index < lines.size(); index++) {
            if (lines.get(index - 1).strip().equals(TAG)) {
                names.add(lines.get(index)
                        .replaceFirst("^\\s*Scenario( Outline)?:", "")
                        .strip());
            }
        }
    }
}
