package org.pollenhoist.acceptance;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** CI passes over the scenarios tagged {@code @known-red} and over no others; each one stands in the list. */
class KnownRedTest {

    private static final Path LIST = Path.of("..", "KNOWN-RED.txt");
    private static final Path SCENARIOS = Path.of("src", "test", "resources", "scenarios");
    private static final String TAG = "@known-red";
    private static final String ENTRY = "test:";
    private static final String UNIT_ENTRY = "unit:";
    private static final Pattern UNIT_TAG = Pattern.compile("@Tag\\(\"known-red\"\\)\\s+@Test\\s+void (\\w+)\\(");

    @Nested
    class Entries {

        @Test
        void should_name_exactly_the_tagged_scenarios_when_ci_passes_over_them() throws IOException {
            assertThat(listed(ENTRY)).containsExactlyInAnyOrderElementsOf(tagged());
        }

        @Test
        void should_name_exactly_the_tagged_unit_tests_when_ci_passes_over_them() throws IOException {
            assertThat(listed(UNIT_ENTRY)).containsExactlyInAnyOrderElementsOf(taggedUnitTests());
        }
    }

    private static List<String> taggedUnitTests() throws IOException {
        List<String> names = new ArrayList<>();
        try (Stream<Path> files = Files.walk(Path.of(".."))) {
            List<Path> tests = files.filter(file -> file.toString().endsWith("Test.java"))
                    .filter(file -> file.toString().contains("src/test/java"))
                    .toList();
            for (Path file : tests) {
                addTaggedUnitTests(file, names);
            }
        }
        return names;
    }

    private static void addTaggedUnitTests(Path file, List<String> names) throws IOException {
        String type = file.getFileName().toString().replace(".java", "");
        Matcher tagged = UNIT_TAG.matcher(Files.readString(file));
        while (tagged.find()) {
            names.add(type + "." + tagged.group(1));
        }
    }

    private static List<String> listed(String entry) throws IOException {
        return Files.readAllLines(LIST).stream()
                .filter(line -> line.startsWith(entry))
                .map(line -> line.substring(entry.length()).strip())
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
