package org.pollenhoist.serving.request;

import java.time.Duration;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.returns.Pool;
import org.pollenhoist.serving.returns.Return;
import org.pollenhoist.serving.returns.ReturnRequest;
import org.pollenhoist.serving.routing.Selection;
import org.pollenhoist.serving.routing.SelectionRequest;

/**
 * When the caller of a refused request may return.
 *
 * @param reason why it is refused, for the caller
 * @param retryAfter when it is to return
 * @param promised what that time rests on, for the log
 */
record ReturnOffer(String reason, Duration retryAfter, String promised) {

    /** Callers wait for a return at most this part of the time that they have left. */
    private static final int WAITED_PART_OF_TIME_LEFT = 3;

    /** The offer for a refusal that no return is reckoned for. */
    static ReturnOffer unpromised(Selection.Refuse refusal) {
        return new ReturnOffer(refusal.reason(), refusal.retryAfter(), "none");
    }

    /** The offer for a request that has not run; a return is reckoned if it is refused for want of room. */
    static ReturnOffer of(
            Selection.Refuse refusal, SelectionRequest request, RequestEnvironment environment, MonotonicTime now) {
        if (!refusal.isForRoom()) {
            return unpromised(refusal);
        }
        Pool pool = new Pool(request.service(), request.model());
        Duration latest = request.deadline().since(now).dividedBy(WAITED_PART_OF_TIME_LEFT);
        Return reckoned = environment
                .returns()
                .promise(
                        new ReturnRequest(
                                pool, request.priority(), request.waitingSince(), refusal.retryAfter(), latest),
                        now);
        ReturnOffer offer = switch (reckoned) {
            case Return.At at -> new ReturnOffer(refusal.reason(), at.after(), "room");
            case Return.Never never ->
                new ReturnOffer(refusal.reason() + "; no room in the time left", never.after(), "never");
            case Return.Unreckoned unknown -> new ReturnOffer(refusal.reason(), unknown.after(), "unreckoned");
        };
        environment.metrics().observeReturn(pool.kind(), offer.promised(), offer.retryAfter());
        return offer;
    }
}
