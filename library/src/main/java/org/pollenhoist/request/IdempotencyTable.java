package org.pollenhoist.request;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.pollenhoist.common.MonotonicTime;

/**
 * The requests with idempotency keys that this VM is running or has run. Until {@link #REMEMBERED} after its request
 * ended, a key is not run again on this VM, unless it is proved that the request did not run. Thread-safe: uses one
 * lock, which is a leaf lock; futures are completed without holding it.
 */
public final class IdempotencyTable {

    /** How long a key is kept after its request has ended. */
    public static final Duration REMEMBERED = Duration.ofHours(1);

    private static final int MAXIMUM_RESPONSE_BYTES = 16 * 1024;
    private static final long MAXIMUM_TOTAL_RESPONSE_BYTES = 4L * 1024 * 1024;

    private final Object lock = new Object();
    private final Map<RequestFingerprint, Entry> entries = new LinkedHashMap<>();
    private long nextNumber;
    private long responseBytes;

    private static final class Entry {
        private final long number;
        private final RequestFingerprint request;
        private final CompletableFuture<IdempotencyOutcome> end = new CompletableFuture<>();
        private IdempotencyOutcome outcome;
        private MonotonicTime endedAt;

        Entry(long number, RequestFingerprint request) {
            this.number = number;
            this.request = request;
        }
    }

    /** Creates an empty table. */
    public IdempotencyTable() {}

    /**
     * Looks up a request, and registers it as running if its key is new.
     *
     * @param key the caller's key
     * @param request the request's fingerprint; the same key with a different fingerprint is rejected
     * @param now the current time
     * @return the state of the key
     */
    public IdempotencyOutcome begin(IdempotencyKey key, RequestFingerprint request, MonotonicTime now) {
        synchronized (lock) {
            removeExpired(now);
            Entry entry = entries.get(key.digest());
            if (entry == null) {
                entry = new Entry(nextNumber++, request);
                entries.put(key.digest(), entry);
                return new IdempotencyOutcome.Fresh(new IdempotencyTicket(key, entry.number));
            }
            if (!entry.request.equals(request)) {
                return new IdempotencyOutcome.OtherRequest();
            }
            return entry.outcome == null ? new IdempotencyOutcome.Running(entry.end) : entry.outcome;
        }
    }

    /**
     * Looks up a stored response for another VM.
     *
     * @param digest the digest of the caller's key
     * @return the response; empty if none is stored
     */
    public Optional<StoredResponse> find(RequestFingerprint digest) {
        synchronized (lock) {
            Entry entry = entries.get(digest);
            boolean isStored = entry != null && entry.outcome instanceof IdempotencyOutcome.Finished;
            return isStored ? Optional.of(((IdempotencyOutcome.Finished) entry.outcome).answer()) : Optional.empty();
        }
    }

    /**
     * Records the full response of a request. Has no effect if the end of the ticket has already been recorded.
     *
     * @param ticket the ticket under which it ran
     * @param response the response
     * @param now the current time
     */
    public void finish(IdempotencyTicket ticket, StoredResponse response, MonotonicTime now) {
        boolean isStored = response.bytes() <= MAXIMUM_RESPONSE_BYTES;
        end(
                ticket,
                isStored ? new IdempotencyOutcome.Finished(response) : new IdempotencyOutcome.AnswerForgotten(),
                now);
    }

    /**
     * Records that a request ended without a full response. Has no effect if the end of the ticket has already been
     * recorded.
     *
     * @param ticket the ticket under which it was to run
     * @param isNotRun whether it is proved that it did not run, so that a repeat may run
     * @param now the current time
     */
    public void fail(IdempotencyTicket ticket, boolean isNotRun, MonotonicTime now) {
        end(ticket, isNotRun ? new IdempotencyOutcome.NotRun() : new IdempotencyOutcome.Unknown(), now);
    }

    private void end(IdempotencyTicket ticket, IdempotencyOutcome outcome, MonotonicTime now) {
        Entry entry;
        RequestFingerprint digest = ticket.key().digest();
        synchronized (lock) {
            entry = entries.get(digest);
            if (entry == null || entry.number != ticket.number() || entry.outcome != null) {
                return;
            }
            entries.remove(digest);
            if (!(outcome instanceof IdempotencyOutcome.NotRun)) {
                entry.outcome = outcome;
                entry.endedAt = now;
                entries.put(digest, entry);
                responseBytes += bytes(outcome);
                evictResponses();
            }
        }
        entry.end.complete(outcome);
    }

    /** Removes entries that ended more than {@link #REMEMBERED} ago. Running requests are never removed. */
    private void removeExpired(MonotonicTime now) {
        Iterator<Entry> entriesInOrder = entries.values().iterator();
        while (entriesInOrder.hasNext()) {
            Entry entry = entriesInOrder.next();
            if (entry.endedAt == null) {
                continue;
            }
            if (now.since(entry.endedAt).compareTo(REMEMBERED) <= 0) {
                return;
            }
            responseBytes -= bytes(entry.outcome);
            entriesInOrder.remove();
        }
    }

    /** Evicts the oldest responses above the memory limit. Their keys stay in the table, so they are not run again. */
    private void evictResponses() {
        Iterator<Entry> entriesInOrder = entries.values().iterator();
        while (responseBytes > MAXIMUM_TOTAL_RESPONSE_BYTES && entriesInOrder.hasNext()) {
            Entry entry = entriesInOrder.next();
            if (entry.outcome instanceof IdempotencyOutcome.Finished) {
                responseBytes -= bytes(entry.outcome);
                entry.outcome = new IdempotencyOutcome.AnswerForgotten();
            }
        }
    }

    private static long bytes(IdempotencyOutcome outcome) {
        return outcome instanceof IdempotencyOutcome.Finished finished
                ? finished.answer().bytes()
                : 0;
    }
}
