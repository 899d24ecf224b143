package org.pollenhoist.common;

/** An error with a stable code. Created only by named factories, one for each kind of failure. */
public class PollenhoistException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final ErrorCode code;

    /**
     * Creates an error; subclasses and packages offer named factories over it.
     *
     * @param code the stable code
     * @param message a sentence with the actual and the expected value
     */
    public PollenhoistException(ErrorCode code, String message) {
        super(message);
        this.code = code;
    }

    /**
     * Creates an error with its cause.
     *
     * @param code the stable code
     * @param message a sentence with the actual and the expected value
     * @param cause what failed below
     */
    public PollenhoistException(ErrorCode code, String message, Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    static PollenhoistException invalidName(String kind, String actual) {
        return new PollenhoistException(
                ErrorCode.INVALID_NAME,
                kind + " is '" + actual + "', expected 1 to 63 of a-z, 0-9, '.', '_' and '-',"
                        + " the first one a letter or digit");
    }

    /**
     * Returns the stable code.
     *
     * @return the code
     */
    public ErrorCode code() {
        return code;
    }
}
