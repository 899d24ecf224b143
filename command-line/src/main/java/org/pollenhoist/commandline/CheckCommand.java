package org.pollenhoist.commandline;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.pollenhoist.configuration.Configuration;
import org.pollenhoist.configuration.ConfigurationReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ParentCommand;
import picocli.CommandLine.Spec;

/** Checks files without the platform. */
@Command(name = "check", description = "Checks configuration files; needs no platform.")
final class CheckCommand implements Callable<Integer> {

    @ParentCommand
    private PollenhoistCommand parent;

    @Spec
    private CommandSpec spec;

    @Parameters(arity = "1..*", paramLabel = "FILE", description = "TOML files, or folders of them.")
    private List<Path> files;

    @Override
    public Integer call() {
        Configuration configuration = ConfigurationReader.read(files);
        parent.options()
                .print(
                        spec,
                        Report.withColumns("teams", "profiles", "models", "routes", "upstreams")
                                .row(
                                        configuration.teams().size(),
                                        configuration.profiles().size(),
                                        configuration.models().size(),
                                        configuration.routes().size(),
                                        configuration.upstreams().size()));
        return 0;
    }
}
