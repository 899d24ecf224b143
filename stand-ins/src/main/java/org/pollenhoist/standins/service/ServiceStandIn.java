package org.pollenhoist.standins.service;

import java.util.concurrent.Callable;
import org.pollenhoist.standins.faults.ListenOptions;
import org.pollenhoist.standins.faults.StandInServer;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Starts a plain service's stand-in as a process. */
@Command(
        name = "service-stand-in",
        mixinStandardHelpOptions = true,
        description = "Answers as a plain service on any path and records each execution.")
public final class ServiceStandIn implements Callable<Integer> {

    @Mixin
    private final ListenOptions listen = new ListenOptions();

    @Option(names = "--name", defaultValue = "service", description = "name in answers (default: ${DEFAULT-VALUE})")
    private String name = "service";

    /** Creates the launcher. */
    public ServiceStandIn() {}

    /**
     * Starts the process.
     *
     * @param arguments the command line's arguments
     */
    public static void main(String[] arguments) {
        StandInServer.launch(new ServiceStandIn(), arguments);
    }

    @Override
    public Integer call() throws Exception {
        StandInServer.start(listen, new ServiceHandler(name));
        return ExitCode.OK;
    }
}
