package org.pollenhoist.serving.request;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.http.CallerListener;
import org.pollenhoist.serving.http.CallerResponse;
import org.pollenhoist.serving.http.IncomingRequest;

/** Accepts requests from callers and keeps track of them until they end. Confined to the event loop. */
public final class RequestHandler implements CallerListener {

    private final RequestEnvironment environment;
    private final Set<RequestRun> running = new LinkedHashSet<>();
    private long lastNumber;
    private boolean isRefusingNew;
    private Optional<MonotonicTime> latestEnd = Optional.empty();

    /**
     * Creates a handler.
     *
     * @param environment the dependencies that all requests share
     */
    public RequestHandler(RequestEnvironment environment) {
        this.environment = environment;
    }

    @Override
    public Runnable onRequest(IncomingRequest request, CallerResponse response) {
        RequestRun run = new RequestRun(environment, request, response, ++lastNumber, running::remove);
        running.add(run);
        latestEnd.ifPresent(run::endBy);
        if (isRefusingNew) {
            run.refuseStopping(environment.clock().get());
        } else {
            run.start(environment.clock().get());
        }
        return run::onCallerDisconnected;
    }

    /** Refuses new requests from now on, since the process ends before a response to them could be sent. */
    public void refuseNew() {
        isRefusingNew = true;
    }

    /**
     * Ends every request by the given time, even if its deadline is later, since the process ends soon after it.
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
     * Returns the number of requests that have not ended.
     *
     * @return the count
     */
    public int runningRequests() {
        return running.size();
    }
}
