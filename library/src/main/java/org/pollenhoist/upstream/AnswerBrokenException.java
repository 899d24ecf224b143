package org.pollenhoist.upstream;

import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.PollenhoistException;

/** An answer ended before it was whole. */
public final class AnswerBrokenException extends PollenhoistException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the error.
     *
     * @param reason what was seen
     */
    public AnswerBrokenException(String reason) {
        super(ErrorCode.ANSWER_INCOMPLETE, reason);
    }
}
