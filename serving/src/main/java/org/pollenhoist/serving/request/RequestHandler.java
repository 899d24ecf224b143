package org.pollenhoist.serving.request;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.http.CallerListener;
import org.pollenhoist.serving.http.CallerResponse;
import org.pollenhoist.serving.http.IncomingRequest;

/** Takes requests from callers and follows them to their end. Confined to the event loop. */
public final class RequestHandler implements CallerListener {

    private final RequestEnvironment environment;
    private final Set<RequestRun> running = new LinkedHashSet<>();
    private long lastNumber;
    private boolean isRefusingNew;
    private Optional<MonotonicTime> latestEnd = Optional.empty();

    /**
     * Creates a handler.
     *
     * @param environment what all requests share
     */
    public RequestHandler(RequestEnvironment environment) {
        this.environment = environment;
    }

    @Override
    public Runnable onRequest(IncomingRequest request, CallerResponse answer) {
        RequestRun run = new RequestRun(environment, request, answer, ++lastNumber, running::remove);
        running.add(run);
        latestEnd.ifPresent(run::endBy);
        if (isRefusingNew) {
            run.refuseStopping(environment.clock().get());
        } else {
            run.start(environment.clock().get());
        }
        return run::callerGone;
    }

    /** From now on new requests are refused, since the process ends before they could be answered. */
    public void refuseNew() {
        isRefusingNew = true;
    }

    /**
     * Sets a time by which every request has its answer, whatever its deadline, since the process ends soon after.
     *
     * @param latest the time
     */
    public void endAllBy(MonotonicTime latest) {
        latestEnd = Optional.of(latest);
        running.forEach(run -> run.endBy(latest));
    }

    /**
     * Ends requests whose deadline has passed.
     *
     * @param now the present time
     */
    public void expire(MonotonicTime now) {
        for (RequestRun run : running.stream().toList()) {
            run.expire(now);
        }
    }

    /**
     * Returns how many requests have begun and not ended.
     *
     * @return the count
     */
    public int runningRequests() {
        return running.size();
    }
}
