package org.pollenhoist.request;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.pollenhoist.common.MonotonicTime;

/**
 * The requests with idempotency keys that this VM runs or has run. Within {@link #REMEMBERED} after its end a key is
 * never run again here unless it was proved not to have run. Thread-safe; one lock, a leaf; futures are completed
 * without it.
 */
public final class IdempotencyTable {

    /** How long a key is remembered after its request has ended. */
    public static final Duration REMEMBERED = Duration.ofHours(1);

    private static final int MAXIMUM_ANSWER_BYTES = 16 * 1024;
    private static final long MAXIMUM_ALL_ANSWER_BYTES = 4L * 1024 * 1024;

    private final Object lock = new Object();
    private final Map<RequestFingerprint, Entry> entries = new LinkedHashMap<>();
    private long nextNumber;
    private long answerBytes;

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
     * Looks a request up and begins it where its key was never seen.
     *
     * @param key the caller's key
     * @param request the request's fingerprint; the same key with another one is refused
     * @param now the present time
     * @return what is known
     */
    public IdempotencyOutcome begin(IdempotencyKey key, RequestFingerprint request, MonotonicTime now) {
        synchronized (lock) {
            forgetOld(now);
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
     * Looks a stored answer up for another VM.
     *
     * @param digest the digest of the caller's key
     * @return the answer; empty where none is kept
     */
    public Optional<StoredResponse> find(RequestFingerprint digest) {
        synchronized (lock) {
            Entry entry = entries.get(digest);
            boolean isKept = entry != null && entry.outcome instanceof IdempotencyOutcome.Finished;
            return isKept ? Optional.of(((IdempotencyOutcome.Finished) entry.outcome).answer()) : Optional.empty();
        }
    }

    /**
     * Records the whole answer of a request. A later end of the same ticket changes nothing.
     *
     * @param ticket the right under which it ran
     * @param answer the answer
     * @param now the present time
     */
    public void finish(IdempotencyTicket ticket, StoredResponse answer, MonotonicTime now) {
        boolean isKept = answer.bytes() <= MAXIMUM_ANSWER_BYTES;
        end(ticket, isKept ? new IdempotencyOutcome.Finished(answer) : new IdempotencyOutcome.AnswerForgotten(), now);
    }

    /**
     * Records that a request ended without a whole answer. A later end of the same ticket changes nothing.
     *
     * @param ticket the right under which it was to run
     * @param isNotRun whether it is proved that it did not run, so that a repeat may
     * @param now the present time
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
                answerBytes += bytes(outcome);
                forgetAnswers();
            }
        }
        entry.end.complete(outcome);
    }

    /** Drops ended entries that are older than promised. Running ones are never dropped. */
    private void forgetOld(MonotonicTime now) {
        Iterator<Entry> entriesInOrder = entries.values().iterator();
        while (entriesInOrder.hasNext()) {
            Entry entry = entriesInOrder.next();
            if (entry.endedAt == null) {
                continue;
            }
            if (now.since(entry.endedAt).compareTo(REMEMBERED) <= 0) {
                return;
            }
            answerBytes -= bytes(entry.outcome);
            entriesInOrder.remove();
        }
    }

    /** Drops the oldest answers beyond the bound on memory; that they ran stays known. */
    private void forgetAnswers() {
        Iterator<Entry> entriesInOrder = entries.values().iterator();
        while (answerBytes > MAXIMUM_ALL_ANSWER_BYTES && entriesInOrder.hasNext()) {
            Entry entry = entriesInOrder.next();
            if (entry.outcome instanceof IdempotencyOutcome.Finished) {
                answerBytes -= bytes(entry.outcome);
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
