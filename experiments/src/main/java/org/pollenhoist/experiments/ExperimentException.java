package org.pollenhoist.experiments;

import java.util.List;

/** An experiment that could not be carried out. */
public final class ExperimentException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private ExperimentException(String message, Throwable cause) {
        super(message, cause);
    }

    /**
     * A process did not do what it was to do in time.
     *
     * @param process the process
     * @param expected what it was to do
     * @param seconds how long it was waited for, in seconds
     * @param log the end of its log
     * @return the error
     */
    public static ExperimentException processNotReady(String process, String expected, long seconds, String log) {
        return new ExperimentException(
                "process " + process + " did not " + expected + " within " + seconds + " s; its log ends with:\n" + log,
                null);
    }

    /**
     * Something that the experiment needs failed.
     *
     * @param what what was tried
     * @param cause why it failed
     * @return the error
     */
    public static ExperimentException failed(String what, Throwable cause) {
        return new ExperimentException(what + " failed: " + cause.getMessage(), cause);
    }

    /**
     * An answer was not the expected one.
     *
     * @param call the call
     * @param expected the expected HTTP status
     * @param actual the actual HTTP status
     * @param body the answer's body
     * @return the error
     */
    public static ExperimentException unexpectedAnswer(String call, int expected, int actual, String body) {
        return new ExperimentException(call + " answered " + actual + ", expected " + expected + ": " + body, null);
    }

    /**
     * A call of the command line failed.
     *
     * @param arguments its arguments
     * @param exitCode its exit code
     * @param output what it has printed
     * @return the error
     */
    public static ExperimentException commandFailed(List<String> arguments, int exitCode, String output) {
        return new ExperimentException(
                "pollenhoist " + String.join(" ", arguments) + " ended with " + exitCode + ": " + output, null);
    }

    /**
     * An answer was not that to its request.
     *
     * @param marker the request's marker
     * @param answer the answer's body
     * @return the error
     */
    public static ExperimentException crossedAnswer(String marker, String answer) {
        return new ExperimentException("the answer lacks the marker " + marker + " of its request: " + answer, null);
    }
}
