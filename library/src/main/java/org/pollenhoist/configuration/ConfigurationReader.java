package org.pollenhoist.configuration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.pollenhoist.settings.Finding;
import org.pollenhoist.settings.FindingCode;
import org.pollenhoist.settings.Findings;
import org.pollenhoist.settings.InvalidSettingsException;
import org.pollenhoist.settings.TomlTable;

/**
 * Reads a configuration from TOML and checks it whole.
 *
 * <p>Example: {@code ConfigurationReader.read(List.of(Path.of("examples/thalassa")))}.
 */
public final class ConfigurationReader {

    private static final String SUFFIX = ".toml";

    private ConfigurationReader() {}

    /**
     * Reads files, and all {@code *.toml} files of folders, as one configuration without keys.
     *
     * @param paths files and folders
     * @return the configuration
     * @throws InvalidSettingsException with all findings where anything is not allowed
     */
    public static Configuration read(List<Path> paths) {
        Findings findings = new Findings();
        List<TomlTable> roots = new ArrayList<>();
        for (Path file : files(paths, findings)) {
            roots.add(TomlTable.load(file, findings));
        }
        findings.throwIfAny();
        ConfigurationSections sections = new ConfigurationSections();
        roots.forEach(sections::add);
        roots.forEach(TomlTable::rejectUnknownKeys);
        if (!sections.hasWeightStore()) {
            findings.add(new Finding(
                    paths.get(0).toString(),
                    0,
                    "weight_store",
                    "nothing",
                    "a table [weight_store]",
                    FindingCode.MISSING));
        }
        CrossReferences.check(sections);
        findings.throwIfAny();
        return sections.configuration(Map.of());
    }

    private static List<Path> files(List<Path> paths, Findings findings) {
        List<Path> files = new ArrayList<>();
        for (Path path : paths) {
            if (!Files.isDirectory(path)) {
                files.add(path);
                continue;
            }
            List<Path> inside = tomlFiles(path, findings);
            if (inside.isEmpty()) {
                findings.add(
                        new Finding(path.toString(), 0, "", "no *.toml file", "at least one", FindingCode.UNREADABLE));
            }
            files.addAll(inside);
        }
        return files;
    }

    private static List<Path> tomlFiles(Path folder, Findings findings) {
        try (Stream<Path> entries = Files.list(folder)) {
            return entries.filter(entry -> entry.toString().endsWith(SUFFIX))
                    .sorted()
                    .toList();
        } catch (IOException exception) {
            findings.add(new Finding(
                    folder.toString(),
                    0,
                    "",
                    exception.getClass().getSimpleName(),
                    "a readable folder",
                    FindingCode.UNREADABLE));
            return List.of();
        }
    }
}
