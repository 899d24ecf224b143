package org.pollenhoist.commandline;

import java.nio.file.Path;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.Callable;
import org.pollenhoist.configuration.Configuration;
import org.pollenhoist.configuration.ConfigurationReader;
import org.pollenhoist.operator.Committed;
import org.pollenhoist.operator.ConfigurationCommit;
import org.pollenhoist.operator.Pause;
import org.pollenhoist.platform.HttpPlatformService;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ParentCommand;
import picocli.CommandLine.Spec;

/** Makes files the configuration in force. */
@Command(
        name = "apply",
        description = "Checks files and puts them in force. Keys stay. Waits and says where the change is in force.")
final class ApplyCommand implements Callable<Integer> {

    @ParentCommand
    private PollenhoistCommand parent;

    @Spec
    private CommandSpec spec;

    @Parameters(arity = "1..*", paramLabel = "FILE", description = "TOML files, or folders of them.")
    private List<Path> files;

    @Option(
            names = "--expect-revision",
            paramLabel = "N",
            description = "The revision that the files were made from; another one in force is a conflict."
                    + " 0 expects that nothing was ever applied.")
    private Long expectedRevision;

    @Override
    public Integer call() {
        Configuration configuration = ConfigurationReader.read(files);
        try (HttpPlatformService platform = parent.options().connect(spec)) {
            OptionalLong expected = expectedRevision == null ? OptionalLong.empty() : OptionalLong.of(expectedRevision);
            Committed committed = new ConfigurationCommit(platform, Pause.sleeping()).apply(configuration, expected);
            Report report = Report.withColumns("revision", "subject", "change");
            committed
                    .differences()
                    .forEach(difference -> report.row(committed.revision(), difference.subject(), difference.change()));
            parent.options().print(spec, report);
            return parent.options().followRollout(spec, platform, committed.revision());
        }
    }
}
