package org.pollenhoist.experiments;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import org.pollenhoist.experiments.report.ResultJson;
import org.pollenhoist.experiments.report.ResultPicture;
import org.pollenhoist.experiments.report.ResultTable;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The command line of the experiment tool. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Lists and runs experiments.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:done", "1:an experiment failed", "2:the command line is not understood"})
public final class BenchCommand {

    private static final String ALL = "all";

    @Spec
    private CommandSpec specification;

    private final List<Experiment> experiments;

    /**
     * Creates the command.
     *
     * @param experiments the experiments that it offers
     */
    public BenchCommand(List<Experiment> experiments) {
        this.experiments = List.copyOf(experiments);
    }

    /**
     * Starts the command.
     *
     * @param arguments the command line's arguments
     */
    public static void main(String[] arguments) {
        System.exit(commandLine(Experiments.all()).execute(arguments));
    }

    /**
     * Returns the command line over experiments.
     *
     * @param experiments the experiments that it offers
     * @return the command line
     */
    public static CommandLine commandLine(List<Experiment> experiments) {
        return new CommandLine(new BenchCommand(experiments))
                .setExecutionExceptionHandler((exception, commandLine, parsed) -> {
                    commandLine.getErr().println("failed: " + exception.getMessage());
                    return ExitCode.SOFTWARE;
                });
    }

    /** Lists the experiments. */
    @Command(name = "list", mixinStandardHelpOptions = true, description = "Lists the experiments.")
    public void list() {
        PrintWriter out = specification.commandLine().getOut();
        for (Experiment experiment : experiments) {
            out.println(String.format(Locale.ROOT, "%-28s %s", experiment.name(), experiment.description()));
        }
    }

    /**
     * Runs one experiment or all.
     *
     * @param name the experiment's name, or {@code all}
     * @param seed the seed of all random choices
     * @param lengthSeconds how long the load lasts, in seconds
     * @param output where results and pictures go
     * @return the exit code
     * @throws IOException where the results can't be written
     */
    @Command(name = "run", mixinStandardHelpOptions = true, description = "Runs one experiment or all.")
    public int run(
            @Parameters(paramLabel = "NAME", description = "an experiment's name, or all") String name,
            @Option(names = "--seed", defaultValue = "1", description = "seed (default: 1)") long seed,
            @Option(names = "--length", defaultValue = "10", description = "length of the load in s (default: 10)")
                    long lengthSeconds,
            @Option(
                            names = "--output",
                            defaultValue = "target/bench",
                            description = "folder of results (default: ${DEFAULT-VALUE})")
                    Path output)
            throws IOException {
        List<Experiment> chosen = experiments.stream()
                .filter(experiment -> name.equals(ALL) || experiment.name().equals(name))
                .toList();
        if (chosen.isEmpty()) {
            specification.commandLine().getErr().println("no experiment is named " + name + "; try: bench list");
            return ExitCode.USAGE;
        }
        quietenDecisions();
        for (Experiment experiment : chosen) {
            runOne(experiment, seed, Duration.ofSeconds(lengthSeconds), output);
        }
        return ExitCode.OK;
    }

    /** A simulated hour decides many thousand times; its lines would bury the table. */
    private static void quietenDecisions() {
        ((Logger) LoggerFactory.getLogger("pollenhoist")).setLevel(Level.WARN);
    }

    private void runOne(Experiment experiment, long seed, Duration length, Path output) throws IOException {
        PrintWriter error = specification.commandLine().getErr();
        PrintWriter out = specification.commandLine().getOut();
        ExperimentResult result = experiment.run(seed, length, step -> error.println(experiment.name() + ": " + step));
        out.print(ResultTable.write(result));
        Files.createDirectories(output);
        Path json = Files.writeString(output.resolve(experiment.name() + ".json"), ResultJson.write(result));
        Path picture = Files.writeString(output.resolve(experiment.name() + ".svg"), ResultPicture.draw(result));
        out.println("results=" + json + " picture=" + picture);
        out.flush();
    }
}
