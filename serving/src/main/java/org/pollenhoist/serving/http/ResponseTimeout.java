package org.pollenhoist.serving.http;

import java.time.Duration;

/**
 * When a call is given up: if its response has not begun in time, or if it has ceased to make progress. How long the
 * whole response takes depends on its size and on the links on its way, so that time is not limited: an attempt that is
 * given up has spent the link, and the next one begins from nothing.
 *
 * @param beginning the longest time from the call until the head of the response
 * @param progress the period in which, from the head on, at least {@link #MINIMUM_BYTES} further bytes have to arrive
 */
public record ResponseTimeout(Duration beginning, Duration progress) {

    /**
     * Number of bytes of the body that each period has to bring, or the end of the response. A transfer that shares a
     * narrow link with many others brings more; a server that sends a byte now and then doesn't.
     */
    public static final int MINIMUM_BYTES = 2 << 10;
}
