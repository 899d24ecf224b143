package org.pollenhoist.experiments.processes;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Processes that end together: when the group is closed, and at the latest when this virtual machine ends. Safe for use
 * by several threads.
 */
public final class ProcessGroup implements AutoCloseable {

    private final Path logDirectory;
    private final List<LocalProcess> processes = new ArrayList<>();
    private final Thread endHook = new Thread(this::killAll, "process-group-end");
    private int started;

    /**
     * Creates an empty group.
     *
     * @param logDirectory where the log files go
     */
    public ProcessGroup(Path logDirectory) {
        this.logDirectory = logDirectory;
        Runtime.getRuntime().addShutdownHook(endHook);
    }

    /**
     * Starts a process.
     *
     * @param program what to start
     * @return the process, which may not be ready yet
     */
    public synchronized LocalProcess start(JavaProgram program) {
        started++;
        LocalProcess process =
                LocalProcess.start(program, logDirectory.resolve(program.name() + "-" + started + ".log"));
        processes.add(process);
        return process;
    }

    /** Kills all processes and waits for their ends. */
    @Override
    public void close() {
        killAll();
        synchronized (this) {
            processes.forEach(LocalProcess::awaitEnd);
            processes.clear();
        }
        try {
            Runtime.getRuntime().removeShutdownHook(endHook);
        } catch (IllegalStateException e) {
            // The virtual machine is ending already, and the hook has run or runs.
            return;
        }
    }

    private synchronized void killAll() {
        processes.forEach(LocalProcess::killWithoutWaiting);
    }
}
