package org.pollenhoist.serving.placement;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.store.Store;
import org.pollenhoist.serving.store.StoreAnswer;

/**
 * Which VM orders models and adapters: the one whose name stands in the store under a lease. It stops by its own clock
 * before the store lets the lease end, and a new one keeps silent until the old one's last order lies a whole turn
 * back. Confined to the event loop.
 */
public final class Leadership {

    /** How long before the store does the holder take its lease for ended: a call's way and clocks' drift. */
    private static final Duration SAFETY_MARGIN = Duration.ofMillis(500);

    /** Renewals in one lease, so that two may be lost. */
    private static final int RENEWALS_PER_LEASE = 4;

    /** Pause after a failed call to the store. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(500);

    private static final DecisionLog LOG = DecisionLog.of("placement");

    private final Store store;
    private final String key;
    private final byte[] claim;
    private final Duration turn;
    private final boolean isFirstStart;
    private OptionalLong lease = OptionalLong.empty();
    private long fencingToken;
    private MonotonicTime heldUntil;
    private MonotonicTime ordersFrom;
    private MonotonicTime nextCall;
    private boolean isCalling;
    private boolean isHolder;
    private boolean isOtherSeen;
    private boolean isStopping;

    /**
     * Creates a candidate.
     *
     * @param store the store
     * @param key the key of the record
     * @param claim what this process writes there, unlike that of any other process
     * @param turn how long orders of two VMs have to lie apart
     * @param isFirstStart true where no VM can have ordered before the start of this one
     * @param now the present time
     */
    public Leadership(Store store, String key, String claim, Duration turn, boolean isFirstStart, MonotonicTime now) {
        this.store = store;
        this.key = key;
        this.claim = claim.getBytes(StandardCharsets.UTF_8);
        this.turn = turn;
        this.isFirstStart = isFirstStart;
        this.heldUntil = now;
        this.ordersFrom = now;
        this.nextCall = now;
    }

    /**
     * Tells whether this VM may send an order.
     *
     * @param now the present time, on a clock that counts suspensions
     * @return true where it may
     */
    public boolean mayOrder(MonotonicTime now) {
        return isHolder && !isStopping && now.isBefore(heldUntil) && !now.isBefore(ordersFrom);
    }

    /**
     * Tells whether this VM holds the lease, though it may not order yet.
     *
     * @return true where the record is its own as far as it knows
     */
    public boolean isHolder() {
        return isHolder;
    }

    /**
     * Returns the number that goes with each order, greater than that of every VM before.
     *
     * @return the number
     */
    public long fencingToken() {
        return fencingToken;
    }

    /**
     * Does what is due: renews the lease, or tries to become the holder.
     *
     * @param record the record as the store showed it last, empty where there is none
     * @param recordRevision the revision of the record's last change, 0 where there is none
     * @param mayApply whether it is this VM's turn to apply for a vacant record
     * @param now the present time
     */
    public void tick(Optional<byte[]> record, long recordRevision, boolean mayApply, MonotonicTime now) {
        boolean isOwn = record.isPresent() && java.util.Arrays.equals(record.get(), claim);
        if (record.isPresent() && !isOwn) {
            isOtherSeen = true;
        }
        if (isHolder && record.isPresent() && !isOwn) {
            resign("another VM holds the record");
        }
        if (isCalling || isStopping || now.isBefore(nextCall)) {
            return;
        }
        if (isHolder) {
            renew(now);
        } else if (isOwn && lease.isPresent()) {
            // The answer to the claim was lost, and the claim had taken effect.
            become(recordRevision, now);
            renew(now);
        } else if (record.isEmpty() && mayApply) {
            apply(now);
        }
    }

    private void renew(MonotonicTime now) {
        isCalling = true;
        store.renewLease(lease.orElseThrow(), answer -> {
            isCalling = false;
            switch (answer) {
                case StoreAnswer.Success<Duration> success -> {
                    heldUntil = now.plus(success.value()).plus(SAFETY_MARGIN.negated());
                    nextCall = now.plus(success.value().dividedBy(RENEWALS_PER_LEASE));
                }
                case StoreAnswer.Rejected<Duration> rejected -> resign(rejected.reason());
                case StoreAnswer.Unavailable<Duration> unavailable -> nextCall = now.plus(RETRY_PAUSE);
            }
        });
    }

    private void apply(MonotonicTime now) {
        isCalling = true;
        store.grantLease(turn, answer -> {
            if (answer instanceof StoreAnswer.Success<Long> granted && !isStopping) {
                lease = OptionalLong.of(granted.value());
                claim(now);
            } else {
                isCalling = false;
                nextCall = now.plus(RETRY_PAUSE);
            }
        });
    }

    private void claim(MonotonicTime appliedAt) {
        store.commit(
                List.of(new Store.Condition(key, 0)),
                List.of(new Store.Write(key, claim, lease)),
                List.of(),
                answer -> {
                    isCalling = false;
                    nextCall = appliedAt;
                    switch (answer) {
                        case StoreAnswer.Success<Long> success -> {
                            heldUntil = appliedAt.plus(turn).plus(SAFETY_MARGIN.negated());
                            become(success.value(), appliedAt);
                        }
                        case StoreAnswer.Rejected<Long> rejected -> {
                            lease.ifPresent(store::endLease);
                            lease = OptionalLong.empty();
                            isOtherSeen = true;
                            nextCall = appliedAt.plus(RETRY_PAUSE);
                        }
                        case StoreAnswer.Unavailable<Long> unavailable -> nextCall = appliedAt.plus(RETRY_PAUSE);
                    }
                });
    }

    private void become(long revision, MonotonicTime now) {
        isHolder = true;
        fencingToken = revision;
        ordersFrom = isFirstStart && !isOtherSeen ? now : now.plus(turn);
        LOG.event(
                "placement_lease_taken",
                "fencing_token",
                revision,
                "orders_from_ms",
                ordersFrom.since(now).toMillis());
    }

    private void resign(String reason) {
        if (isHolder) {
            LOG.event("placement_lease_lost", "fencing_token", fencingToken, "reason", reason);
        }
        isHolder = false;
        isOtherSeen = true;
        lease = OptionalLong.empty();
    }

    /** Stops ordering at once. The lease is ended by {@link #release}, a margin later. */
    public void stop() {
        isStopping = true;
    }

    /** Gives the record up, so that another VM need not wait for the lease to run out. */
    public void release() {
        lease.ifPresent(store::endLease);
        resign("stopped");
    }
}
