package org.pollenhoist.experiments.processes;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.pollenhoist.experiments.ExperimentException;

/** A process on this machine with its log file. */
public final class LocalProcess {

    private static final Pattern READY = Pattern.compile("^ready address=(\\S+) port=(\\d+)", Pattern.MULTILINE);
    private static final Duration READY_DEADLINE = Duration.ofSeconds(60);
    private static final Duration STOP_DEADLINE = Duration.ofSeconds(60);
    private static final long POLL_MILLISECONDS = 20;
    private static final int LOG_END_CHARACTERS = 4000;

    private final String name;
    private final Path logFile;
    private final Process process;

    private LocalProcess(String name, Path logFile, Process process) {
        this.name = name;
        this.logFile = logFile;
        this.process = process;
    }

    static LocalProcess start(JavaProgram program, Path logFile) {
        try {
            Files.createDirectories(logFile.toAbsolutePath().getParent());
            Process process = new ProcessBuilder(program.command())
                    .redirectErrorStream(true)
                    .redirectOutput(logFile.toFile())
                    .start();
            process.getOutputStream().close();
            return new LocalProcess(program.name(), logFile, process);
        } catch (IOException e) {
            throw new UncheckedIOException("process " + program.name() + " does not start", e);
        }
    }

    /**
     * Waits until the process has printed {@code ready address=A port=N}.
     *
     * @return the port
     */
    public int awaitPort() {
        await("print its port", () -> READY.matcher(log()).find());
        Matcher matcher = READY.matcher(log());
        if (!matcher.find()) {
            throw new IllegalStateException("the log of " + name + " has lost its ready line");
        }
        return Integer.parseInt(matcher.group(2));
    }

    /**
     * Waits until a condition holds; gives up early where the process has ended.
     *
     * @param expected what the process is to do, for the error message
     * @param condition the condition
     */
    public void await(String expected, BooleanSupplier condition) {
        long end = System.nanoTime() + READY_DEADLINE.toNanos();
        while (!condition.getAsBoolean()) {
            if (!process.isAlive() || System.nanoTime() - end > 0) {
                throw ExperimentException.processNotReady(name, expected, READY_DEADLINE.toSeconds(), endOfLog());
            }
            pause();
        }
    }

    /**
     * Sends a signal.
     *
     * @param signal its name, such as {@code STOP}
     */
    public void signal(String signal) {
        try {
            new ProcessBuilder("/bin/kill", "-" + signal, Long.toString(process.pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException("signal " + signal + " to " + name, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends the process at once. */
    public void kill() {
        process.destroyForcibly();
        awaitEnd();
    }

    /**
     * Asks the process to stop and waits for its end.
     *
     * @return its exit code
     */
    public int stop() {
        process.destroy();
        return awaitEnd();
    }

    /**
     * Waits for the end of the process; kills it where it takes too long.
     *
     * @return its exit code
     */
    public int awaitEnd() {
        try {
            if (!process.waitFor(STOP_DEADLINE.toSeconds(), TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
            }
            return process.exitValue();
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
            throw ExperimentException.failed("waiting for the end of " + name, e);
        }
    }

    /**
     * Tells whether the process runs.
     *
     * @return whether it does
     */
    public boolean isAlive() {
        return process.isAlive();
    }

    /**
     * Returns the process's name.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /**
     * Returns the process's identifier.
     *
     * @return the identifier
     */
    public long pid() {
        return process.pid();
    }

    /**
     * Returns what the process has logged and printed so far.
     *
     * @return the text
     */
    public String log() {
        try {
            return Files.readString(logFile);
        } catch (IOException e) {
            throw new UncheckedIOException("log of " + name, e);
        }
    }

    /** Ends the process without waiting, for the end of this virtual machine. */
    void killWithoutWaiting() {
        process.destroyForcibly();
    }

    private String endOfLog() {
        String log = log();
        return log.substring(Math.max(0, log.length() - LOG_END_CHARACTERS));
    }

    private static void pause() {
        try {
            Thread.sleep(POLL_MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw ExperimentException.failed("waiting", e);
        }
    }
}
