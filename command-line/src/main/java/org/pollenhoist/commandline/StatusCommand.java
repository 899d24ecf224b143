package org.pollenhoist.commandline;

import java.util.List;
import java.util.concurrent.Callable;
import org.pollenhoist.operator.VmStatus;
import org.pollenhoist.operator.VmStatusClient;
import org.pollenhoist.platform.ConfigurationStore;
import org.pollenhoist.platform.HttpPlatformService;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParentCommand;
import picocli.CommandLine.Spec;

/** Shows which revision is in force on which VM. */
@Command(
        name = "status",
        description = "Shows which revision is in force on each entry VM, and whether it is ready or draining.")
final class StatusCommand implements Callable<Integer> {

    @ParentCommand
    private PollenhoistCommand parent;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        try (HttpPlatformService platform = parent.options().connect(spec)) {
            long latest = ConfigurationStore.over(platform).confirmedRevision();
            List<VmStatusClient.Answer> answers =
                    parent.options().ask(parent.options().entryVms(platform));
            Report report = Report.withColumns(
                    "vm", "failure_domain", "answers", "revision", "latest_revision", "ready", "draining");
            answers.forEach(answer -> add(report, answer, latest));
            parent.options().print(spec, report);
            return 0;
        }
    }

    private static void add(Report report, VmStatusClient.Answer answer, long latest) {
        VmStatus status =
                answer.status().orElseGet(() -> new VmStatus(answer.vm().name(), 0, false, false));
        report.row(
                answer.vm().name(),
                answer.vm().failureDomain(),
                answer.status().isPresent(),
                status.revision(),
                latest,
                status.isReady(),
                status.isDraining());
    }
}
