package org.pollenhoist.serving.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.placement.ModelRequest;

/**
 * Requests that wait for capacity at an upstream, or for a model or an adapter to be loaded. They are ordered by
 * priority, and by arrival within a priority. Confined to the event loop.
 *
 * <p>The queue absorbs bursts that occupy all engines for a shorter time than a request may wait. A request that waits
 * here can still be sent to whichever engine becomes free first; one that waits at an engine can't.
 */
public final class RequestQueue {

    /** A request in the queue. */
    public interface QueuedRequest {

        /**
         * Returns the priority of the request.
         *
         * @return the priority, 0 for the highest
         */
        int priority();

        /**
         * Returns the sequence number of the request in this process.
         *
         * @return the number, which increases with each arrival
         */
        long number();

        /**
         * Returns what has to be loaded before the request can start.
         *
         * @return the model or adapter, or empty if the request waits for capacity
         */
        java.util.Optional<ModelRequest> modelRequest();

        /**
         * Tries to start the request.
         *
         * @param now the present time
         * @return false if the request has to stay in the queue
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
     * Removes a request.
     *
     * @param request the request
     */
    public void remove(QueuedRequest request) {
        waiting.remove(request);
    }

    /**
     * Calls {@link QueuedRequest#tryStart} on all requests in order, and removes those that have started.
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
     * Returns the models and adapters that have to be loaded for waiting requests.
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
