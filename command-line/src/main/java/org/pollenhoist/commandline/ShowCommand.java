package org.pollenhoist.commandline;

import java.util.concurrent.Callable;
import org.pollenhoist.configuration.ConfigurationHead;
import org.pollenhoist.platform.ConfigurationStore;
import org.pollenhoist.platform.HttpPlatformService;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParentCommand;
import picocli.CommandLine.Spec;

/** Shows the latest changes. */
@Command(
        name = "show",
        description = "Shows the latest revisions and the changes that made them, newest first."
                + " 'list' shows what they hold.")
final class ShowCommand implements Callable<Integer> {

    @ParentCommand
    private PollenhoistCommand parent;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        try (HttpPlatformService platform = parent.options().connect(spec)) {
            Report report = Report.withColumns("revision", "change");
            ConfigurationStore.over(platform)
                    .readConfirmedHead()
                    .ifPresent(head -> head.recentChanges().forEach(change -> add(report, change)));
            parent.options().print(spec, report);
            return 0;
        }
    }

    private static void add(Report report, ConfigurationHead.PastChange change) {
        report.row(change.revision(), change.changeIdentifier());
    }
}
