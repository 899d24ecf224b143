package org.pollenhoist.commandline;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.pollenhoist.configuration.Configuration;
import org.pollenhoist.configuration.ConfigurationReader;
import org.pollenhoist.configuration.Difference;
import org.pollenhoist.configuration.InstalledConfiguration;
import org.pollenhoist.platform.HttpPlatformService;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ParentCommand;
import picocli.CommandLine.Spec;

/** Compares files with what is in force. */
@Command(name = "compare", description = "Shows what 'apply' of the files would change.")
final class CompareCommand implements Callable<Integer> {

    @ParentCommand
    private PollenhoistCommand parent;

    @Spec
    private CommandSpec spec;

    @Parameters(arity = "1..*", paramLabel = "FILE", description = "TOML files, or folders of them.")
    private List<Path> files;

    @Override
    public Integer call() {
        Configuration fresh = ConfigurationReader.read(files);
        try (HttpPlatformService platform = parent.options().connect(spec)) {
            Optional<InstalledConfiguration> latest = parent.options().latest(platform);
            Report report = Report.withColumns("revision", "subject", "change");
            if (latest.isEmpty()) {
                report.row(0, "configuration", "added");
            } else {
                addDifferences(report, latest.get(), fresh);
            }
            parent.options().print(spec, report);
            return 0;
        }
    }

    private static void addDifferences(Report report, InstalledConfiguration latest, Configuration fresh) {
        Difference.between(latest.configuration(), fresh).stream()
                .filter(difference -> !difference.subject().startsWith("key "))
                .forEach(difference -> report.row(latest.revision(), difference.subject(), difference.change()));
    }
}
