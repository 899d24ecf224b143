package org.pollenhoist.serving.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.placement.ModelRequest;

/**
 * Requests that wait for room at an upstream, or for a model or an adapter to be loaded. The more urgent go first, then
 * those that came first. Confined to the event loop.
 *
 * <p>Answers bursts that fill all engines for less than a request's patience: what waits here can still go to whichever
 * engine is free first, which a request that waits at an engine cannot.
 */
public final class RequestQueue {

    /** A request that waits. */
    public interface QueuedRequest {

        /**
         * Returns its rank.
         *
         * @return the rank, 0 first
         */
        int priority();

        /**
         * Returns its place among all requests of this process.
         *
         * @return grows with each request
         */
        long number();

        /**
         * Returns what has to be loaded for it.
         *
         * @return the model or adapter, or empty where it waits for room
         */
        java.util.Optional<ModelRequest> modelRequest();

        /**
         * Tries to leave the queue.
         *
         * @param now the present time
         * @return false where it has to go on waiting
         */
        boolean tryStart(MonotonicTime now);
    }

    private static final Comparator<QueuedRequest> ORDER =
            Comparator.comparingInt(QueuedRequest::priority).thenComparingLong(QueuedRequest::number);

    private final TreeSet<QueuedRequest> waiting = new TreeSet<>(ORDER);

    /**
     * Adds a request.
     *
     * @param request the request
     */
    public void add(QueuedRequest request) {
        waiting.add(request);
    }

    /**
     * Takes a request out.
     *
     * @param request the request
     */
    public void remove(QueuedRequest request) {
        waiting.remove(request);
    }

    /**
     * Lets all requests try to start, in their order.
     *
     * @param now the present time
     */
    public void tryStartAll(MonotonicTime now) {
        if (waiting.isEmpty()) {
            return;
        }
        List<QueuedRequest> inOrder = new ArrayList<>(waiting);
        for (QueuedRequest request : inOrder) {
            if (waiting.contains(request) && request.tryStart(now)) {
                waiting.remove(request);
            }
        }
    }

    /**
     * Returns what the waiting requests need to have loaded.
     *
     * @return one entry for each request that waits for a model or adapter
     */
    public List<ModelRequest> modelRequests() {
        return waiting.stream()
                .flatMap(request -> request.modelRequest().stream())
                .toList();
    }

    /**
     * Returns how many requests wait.
     *
     * @return the count
     */
    public int size() {
        return waiting.size();
    }
}
