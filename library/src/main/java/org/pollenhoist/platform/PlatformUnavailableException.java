package org.pollenhoist.platform;

import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.PollenhoistException;

/** The platform's service could not be reached, did not answer in time or answered with something unexpected. */
public final class PlatformUnavailableException extends PollenhoistException {

    private static final long serialVersionUID = 1L;

    private PlatformUnavailableException(String message) {
        super(ErrorCode.PLATFORM_UNAVAILABLE, message);
    }

    /**
     * Returns the error for a call without an answer.
     *
     * @param call what was asked
     * @param reason what was seen
     * @return the error
     */
    public static PlatformUnavailableException noAnswer(String call, String reason) {
        return new PlatformUnavailableException("no answer to " + call + ": " + reason);
    }

    /**
     * Returns the error for an answer with an unexpected status.
     *
     * @param call what was asked
     * @param actual the status that came
     * @param expected the statuses that are allowed
     * @return the error
     */
    public static PlatformUnavailableException unexpectedStatus(String call, int actual, String expected) {
        return new PlatformUnavailableException("answer to " + call + " is " + actual + ", expected " + expected);
    }

    /**
     * Returns the error for answers that stay behind what the platform is known to hold.
     *
     * @param key the key that was read
     * @param actualVersion the version that was read
     * @param expectedVersion the version that is known to exist
     * @return the error
     */
    public static PlatformUnavailableException staleAnswer(String key, long actualVersion, long expectedVersion) {
        return new PlatformUnavailableException("platform answers with version " + actualVersion + " of '" + key
                + "', expected at least version " + expectedVersion);
    }
}
