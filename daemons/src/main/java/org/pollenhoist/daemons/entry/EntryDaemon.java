package org.pollenhoist.daemons.entry;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.entry.EntryNode;
import org.pollenhoist.settings.EntrySettings;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Starts an entry process. Exit codes: 0 after a planned stop, 1 for a failed start, 2 for wrong arguments. */
@Command(
        name = "pollenhoist-entry",
        mixinStandardHelpOptions = true,
        description = "Serves callers on one entry VM.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:stopped as asked", "1:could not start; the log says why", "2:wrong arguments"})
public final class EntryDaemon implements Callable<Integer> {

    private static final DecisionLog LOG = DecisionLog.of("entry");

    @Option(names = "--settings", required = true, description = "The settings file (TOML).")
    private Path settingsFile;

    private EntryDaemon() {}

    /**
     * Starts the process.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        int exitCode = new CommandLine(new EntryDaemon()).execute(arguments);
        System.exit(exitCode);
    }

    @Override
    public Integer call() throws Exception {
        EntryNode node;
        try {
            node = EntryNode.start(EntrySettings.load(settingsFile));
        } catch (PollenhoistException rejected) {
            System.err.println(rejected.getMessage());
            return 1;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node), "planned-stop"));
        node.whenAskedToDrain(() -> new Thread(() -> System.exit(0), "drain").start());
        new CountDownLatch(1).await();
        return 0;
    }

    private static void stop(EntryNode node) {
        int exitCode = 0;
        try {
            node.stopGracefully();
        } catch (Exception failure) {
            LOG.event("stop_failed", "reason", failure);
            exitCode = 1;
        }
        // Without this the virtual machine would report the signal's number as its exit code.
        Runtime.getRuntime().halt(exitCode);
    }
}
