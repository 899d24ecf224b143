package org.pollenhoist.acceptance;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** The page of proofs may name only what exists. */
class ProofsPageTest {

    private static final Path ROOT = Path.of("..");
    private static final Path PAGE = ROOT.resolve("docs/PROOFS.md");
    private static final Pattern TEST_CLASS = Pattern.compile("`([A-Z][A-Za-z]+Test)`");
    private static final Pattern SCENARIO = Pattern.compile("`([a-z-]+\\.feature): ([^`]+)`");

    private static List<Path> filesNamed(String name) throws IOException {
        try (Stream<Path> files = Files.walk(ROOT)) {
            return files.filter(file -> file.endsWith(name) && !file.toString().contains("/target/"))
                    .toList();
        }
    }

    @Nested
    class Page {

        @Test
        void should_name_only_test_classes_that_exist() throws IOException {
            List<String> named = TEST_CLASS
                    .matcher(Files.readString(PAGE))
                    .results()
                    .map(found -> found.group(1))
                    .distinct()
                    .toList();

            assertThat(named).isNotEmpty();
            for (String testClass : named) {
                assertThat(filesNamed(testClass + ".java")).as(testClass).hasSize(1);
            }
        }

        @Test
        void should_name_only_scenarios_that_exist() throws IOException {
            List<String[]> named = SCENARIO.matcher(Files.readString(PAGE))
                    .results()
                    .map(found -> new String[] {found.group(1), found.group(2)})
                    .toList();

            assertThat(named).isNotEmpty();
            for (String[] scenario : named) {
                List<Path> features = filesNamed(scenario[0]);
                assertThat(features).as(scenario[0]).hasSize(1);
                assertThat(Files.readString(features.get(0)))
                        .containsPattern("Scenario( Outline)?: " + Pattern.quote(scenario[1]));
            }
        }
    }
}
