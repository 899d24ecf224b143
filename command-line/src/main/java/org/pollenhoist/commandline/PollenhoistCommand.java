package org.pollenhoist.commandline;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/**
 * The operators' command {@code pollenhoist}.
 *
 * <p>Example: {@code pollenhoist --platform 127.0.0.1:2379 apply examples/thalassa}.
 */
@Command(
        name = "pollenhoist",
        mixinStandardHelpOptions = true,
        version = "pollenhoist 0.1",
        description = "Checks and changes what the fleet serves, and shows its state.",
        scope = CommandLine.ScopeType.INHERIT,
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done",
            "1:files or names are not allowed; every finding was printed",
            "2:wrong arguments",
            "3:another operator's change came first; nothing was changed",
            "4:the platform's service does not answer; nothing was changed",
            "5:it is not known whether the change was accepted; 'show' tells later",
            "6:no such team, key or VM",
            "7:the change was accepted and is not yet in force on all VMs",
            "70:a fault of this program"
        },
        subcommands = {
            CheckCommand.class,
            ApplyCommand.class,
            ShowCommand.class,
            CompareCommand.class,
            KeysCommand.class,
            ListCommand.class,
            StatusCommand.class,
            DrainCommand.class
        })
public final class PollenhoistCommand implements Runnable {

    private static final String LOG_CONFIGURATION = "logback.configurationFile";

    @Mixin
    private SharedOptions options;

    @Spec
    private CommandSpec spec;

    private PollenhoistCommand() {}

    /**
     * Runs a command and ends the process with its exit code.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        if (System.getProperty(LOG_CONFIGURATION) == null) {
            System.setProperty(LOG_CONFIGURATION, "command-line-logback.xml");
        }
        System.exit(execute(
                new PrintWriter(System.out, true, StandardCharsets.UTF_8),
                new PrintWriter(System.err, true, StandardCharsets.UTF_8),
                arguments));
    }

    /**
     * Runs a command.
     *
     * @param out where the answer is printed
     * @param errors where findings and errors are printed
     * @param arguments the command line
     * @return the exit code
     */
    static int execute(PrintWriter out, PrintWriter errors, String... arguments) {
        return new CommandLine(new PollenhoistCommand())
                .setExecutionExceptionHandler(ExitCodes::report)
                .setOut(out)
                .setErr(errors)
                .execute(arguments);
    }

    SharedOptions options() {
        return options;
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }
}
