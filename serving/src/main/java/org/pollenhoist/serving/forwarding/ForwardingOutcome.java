package org.pollenhoist.serving.forwarding;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** What became of a request that a peer was asked to send. */
enum ForwardingOutcome {
    /** The response is the upstream's. */
    ANSWERED,
    /** The peer does not send requests for others now; nothing was sent. */
    DECLINED,
    /** The peer could not reach the upstream, or may not send to it; nothing was sent. */
    NOT_SENT,
    /** The request was sent and no valid response was received. */
    NO_ANSWER;

    String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    static Optional<ForwardingOutcome> of(String text) {
        return Arrays.stream(values())
                .filter(outcome -> outcome.text().equals(text))
                .findFirst();
    }
}
