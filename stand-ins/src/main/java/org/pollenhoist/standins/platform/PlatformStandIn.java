package org.pollenhoist.standins.platform;

import java.util.concurrent.Callable;
import org.pollenhoist.standins.faults.ListenOptions;
import org.pollenhoist.standins.faults.StandInServer;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Mixin;

/** Starts the platform's stand-in as a process. */
@Command(
        name = "platform-stand-in",
        mixinStandardHelpOptions = true,
        description = "Answers as the platform's key-value service, leases, watches and list of VMs.")
public final class PlatformStandIn implements Callable<Integer> {

    @Mixin
    private final ListenOptions listen = new ListenOptions();

    /** Creates the launcher. */
    public PlatformStandIn() {}

    /**
     * Starts the process.
     *
     * @param arguments the command line's arguments
     */
    public static void main(String[] arguments) {
        StandInServer.launch(new PlatformStandIn(), arguments);
    }

    @Override
    public Integer call() throws Exception {
        PlatformHandler handler = new PlatformHandler();
        handler.wakeWaitersForever();
        StandInServer.start(listen, handler);
        return ExitCode.OK;
    }
}
