package org.pollenhoist.commandline;

import java.util.concurrent.Callable;
import org.pollenhoist.common.VmName;
import org.pollenhoist.operator.VmDrain;
import org.pollenhoist.platform.HttpPlatformService;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ParentCommand;
import picocli.CommandLine.Spec;

/** Asks a VM to stop in a planned way. */
@Command(name = "drain", description = "Asks an entry VM to finish its requests and stop.")
final class DrainCommand implements Callable<Integer> {

    @ParentCommand
    private PollenhoistCommand parent;

    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "VM", description = "The VM's name.")
    private String vm;

    @Override
    public Integer call() {
        VmName name = VmName.of(vm);
        try (HttpPlatformService platform = parent.options().connect(spec)) {
            boolean isListed =
                    platform.listVms().stream().anyMatch(listed -> listed.name().equals(vm));
            if (!isListed) {
                spec.commandLine().getErr().println("not_found: the platform lists no VM '" + vm + "'");
                return ExitCodes.NOT_FOUND;
            }
            boolean isNew = VmDrain.request(platform, name);
            parent.options()
                    .print(spec, Report.withColumns("vm", "drain").row(vm, isNew ? "requested" : "requested before"));
            return 0;
        }
    }
}
