package org.pollenhoist.caller;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The requests that run now, so that those of a withdrawn key can be ended and a planned stop knows what it waits for.
 *
 * <p>No lock is held while a request is ended.
 */
public final class RunningRequests {

    private final AtomicLong lastNumber = new AtomicLong();

    private final Map<Long, Running> running = new ConcurrentHashMap<>();

    /** The last word on keys, for requests that are entered after it was given and identified before. */
    private volatile Predicate<String> isInForce = digest -> true;

    /**
     * Notes that a request runs. It is ended at once where its key was withdrawn since it was identified.
     *
     * @param keyDigest the digest of its key, empty on an open route
     * @param abort ends it with a reason; may be called from any thread
     * @return the entry, to be closed once when the request has ended
     */
    public Entry add(String keyDigest, Consumer<String> abort) {
        long number = lastNumber.incrementAndGet();
        Running request = new Running(keyDigest, abort);
        running.put(number, request);
        abortWhereWithdrawn(request);
        return () -> running.remove(number);
    }

    /**
     * Ends all requests whose keys are no longer in force.
     *
     * @param isKeyInForce tells of a key's digest whether it is in force
     * @return how many were ended
     */
    public int abortWhereKeyIsNotInForce(Predicate<String> isKeyInForce) {
        isInForce = isKeyInForce;
        int aborted = 0;
        for (Running request : running.values()) {
            aborted += abortWhereWithdrawn(request) ? 1 : 0;
        }
        return aborted;
    }

    private boolean abortWhereWithdrawn(Running request) {
        boolean isWithdrawn = !request.keyDigest().isEmpty() && !isInForce.test(request.keyDigest());
        if (isWithdrawn) {
            request.abort().accept("the key was withdrawn");
        }
        return isWithdrawn;
    }

    /**
     * Ends all requests.
     *
     * @param reason what their callers are told
     */
    public void abortAll(String reason) {
        running.values().forEach(request -> request.abort().accept(reason));
    }

    /**
     * Returns how many requests run.
     *
     * @return the count
     */
    public int count() {
        return running.size();
    }

    /** A request that runs. */
    @FunctionalInterface
    public interface Entry extends AutoCloseable {

        @Override
        void close();
    }

    private record Running(String keyDigest, Consumer<String> abort) {}
}
