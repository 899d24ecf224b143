package org.pollenhoist.commandline;

import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.PollenhoistException;
import picocli.CommandLine;

/** The exit codes of all commands. */
final class ExitCodes {

    static final int INVALID = 1;
    static final int CONFLICT = 3;
    static final int PLATFORM_UNAVAILABLE = 4;
    static final int OUTCOME_UNKNOWN = 5;
    static final int NOT_FOUND = 6;
    static final int NOT_EVERYWHERE = 7;
    static final int INTERNAL = 70;

    private ExitCodes() {}

    static int of(ErrorCode code) {
        return switch (code) {
            case INVALID_CONFIGURATION, INVALID_NAME -> INVALID;
            case REVISION_CONFLICT -> CONFLICT;
            case PLATFORM_UNAVAILABLE -> PLATFORM_UNAVAILABLE;
            case OUTCOME_UNKNOWN -> OUTCOME_UNKNOWN;
            case NOT_FOUND -> NOT_FOUND;
            default -> INTERNAL;
        };
    }

    static int report(Exception exception, CommandLine commandLine, CommandLine.ParseResult parsed) {
        if (exception instanceof PollenhoistException known) {
            commandLine.getErr().println(known.code().text() + ": " + known.getMessage());
            return of(known.code());
        }
        commandLine.getErr().println(ErrorCode.INTERNAL.text() + ": " + exception);
        return INTERNAL;
    }
}
