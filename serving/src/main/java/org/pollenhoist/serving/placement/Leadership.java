package org.pollenhoist.serving.placement;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.store.Store;
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.store.StoreResult;

/**
 * Which VM orders models and adapters: the one whose claim stands in the store under a lease. It orders only in the
 * first half of the time for which it has renewed its lease, and a new one keeps silent until the last possible order
 * of any other VM lies a whole turn back. A VM that stops, or that can't renew its lease, resigns: it tells its peers
 * the time of its last order, so that another one can replace its claim at once. It does not end its lease: a claim
 * that is gone without a resignation has expired, so that the last order under it lies half a lease back. Confined to
 * the event loop.
 */
public final class Leadership {

    /**
     * A claim that was given up.
     *
     * @param claimRevision the store's revision of the claim, which is also the fencing number of its orders
     * @param lastOrderAt when the last order under it was sent, empty where none was
     */
    public record Resignation(long claimRevision, Optional<MonotonicTime> lastOrderAt) {}

    /** The holder orders in the first of so many parts of its lease; a dead holder's silence counts from its end. */
    private static final int ORDERING_PARTS = 2;

    /** What is taken off the silence of an expired claim for clocks' drift. */
    private static final Duration CLOCK_TOLERANCE = Duration.ofMillis(200);

    /** Renewals in one lease, so that a lost one does not interrupt orders. */
    private static final int RENEWALS_PER_LEASE = 6;

    /** Pause after a failed call to the store. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(500);

    /** Pause after a failed renewal, which is urgent. */
    private static final Duration RENEWAL_RETRY_PAUSE = Duration.ofMillis(250);

    /** A holder that has not renewed its lease for this long resigns: a renewal and a repeat have failed. */
    private static final Duration RENEWAL_PATIENCE = Duration.ofMillis(1_200);

    private static final DecisionLog LOG = DecisionLog.of("placement");

    private final Store store;
    private final String key;
    private final String name;
    private final Duration turn;
    private Optional<StoreItem> record = Optional.empty();
    private Optional<Resignation> heardResignation = Optional.empty();
    private Optional<Resignation> ownResignation = Optional.empty();
    private Optional<MonotonicTime> lastOrderAt = Optional.empty();
    private OptionalLong lease = OptionalLong.empty();
    private byte[] claim = {};
    private long fencingToken;
    private MonotonicTime renewedAt;
    private MonotonicTime heldUntil;
    private MonotonicTime othersQuietSince;
    private MonotonicTime othersQuietBeforeRecord;
    private Optional<MonotonicTime> recordSince = Optional.empty();
    private MonotonicTime nextCall;
    private boolean isCalling;
    private boolean isHolder;
    private boolean isClaimSeen;
    private boolean isStopping;

    /**
     * Creates a candidate.
     *
     * @param store the store
     * @param key the key of the record
     * @param name what this process calls itself there, unlike any other process
     * @param turn how long orders of two VMs have to lie apart
     * @param isFirstStart true where no VM can have ordered before the start of this one
     * @param now the present time
     */
    public Leadership(Store store, String key, String name, Duration turn, boolean isFirstStart, MonotonicTime now) {
        this.store = store;
        this.key = key;
        this.name = name;
        this.turn = turn;
        this.renewedAt = now;
        this.heldUntil = now;
        this.nextCall = now;
        this.othersQuietSince = isFirstStart ? now.plus(turn.negated()) : now;
        this.othersQuietBeforeRecord = othersQuietSince;
    }

    /**
     * Tells whether this VM may send an order.
     *
     * @param now the present time, on a clock that counts suspensions
     * @return true where it may
     */
    public boolean maySendOrders(MonotonicTime now) {
        return isHolder && isClaimSeen && !isStopping && now.isBefore(heldUntil) && !now.isBefore(ordersFrom());
    }

    private MonotonicTime ordersFrom() {
        return othersQuietSince.plus(turn);
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
     * Notes that an order is sent.
     *
     * @param now the present time
     */
    public void recordOrder(MonotonicTime now) {
        lastOrderAt = Optional.of(now);
    }

    /**
     * Returns the claim that this VM has given up, for its peers.
     *
     * @return the resignation, empty where this VM holds a claim or never did
     */
    public Optional<Resignation> resignation() {
        return ownResignation;
    }

    /**
     * Takes a peer's resignation in. It counts only for the claim that stands in the store.
     *
     * @param resignation what the peer says
     */
    public void onResignation(Resignation resignation) {
        boolean isNews =
                record.isPresent() && record.get().revision() == resignation.claimRevision() && !isVacant() && !isOwn();
        if (isNews) {
            heardResignation = Optional.of(resignation);
            othersQuietSince = resignation.lastOrderAt().orElse(othersQuietBeforeRecord);
            LOG.event("placement_resignation_heard", "claim", resignation.claimRevision());
        }
    }

    /**
     * Takes a change of the record over.
     *
     * @param changed the record, empty where it was removed
     * @param now the present time
     */
    public void onRecord(Optional<StoreItem> changed, MonotonicTime now) {
        boolean wasForeign = isForeign();
        boolean wasResigned = isVacant();
        if (wasForeign && !wasResigned) {
            othersQuietSince = hasExpired(now) ? now.plus(silenceOfExpired().negated()) : now;
        }
        record = changed;
        recordSince = changed.map(item -> now);
        if (changed.isPresent() && isOwn()) {
            isClaimSeen = true;
            return;
        }
        if (isForeign()) {
            othersQuietBeforeRecord = othersQuietSince;
            othersQuietSince = now;
        }
        if (isHolder && isClaimSeen) {
            lose("the claim is gone");
        }
    }

    /** Whether the record, which is gone now, can have stood for a whole lease. */
    private boolean hasExpired(MonotonicTime now) {
        return recordSince.map(since -> now.since(since).compareTo(turn) >= 0).orElse(true);
    }

    private static Duration orderingPart(Duration leaseTime) {
        return leaseTime.dividedBy(ORDERING_PARTS);
    }

    /** How long at the least a VM has been silent when its claim expires. */
    private Duration silenceOfExpired() {
        return turn.minus(orderingPart(turn)).minus(CLOCK_TOLERANCE);
    }

    /**
     * Notes that changes of the record may have been missed. Any VM may have ordered until its claim expired, unless
     * this one held the lease all the while.
     *
     * @param now the present time
     */
    public void onMissedChanges(MonotonicTime now) {
        if (isHolder && now.isBefore(heldUntil)) {
            return;
        }
        othersQuietSince =
                record.isPresent() ? now : now.plus(silenceOfExpired().negated());
        othersQuietBeforeRecord = othersQuietSince;
        recordSince = Optional.empty();
    }

    /**
     * Tells whether a VM may claim the place.
     *
     * @return true where no claim stands, or its holder has given it up
     */
    public boolean isVacant() {
        return record.isEmpty()
                || Stream.of(heardResignation, ownResignation)
                        .flatMap(Optional::stream)
                        .anyMatch(resigned ->
                                resigned.claimRevision() == record.get().revision());
    }

    /** Whether another process has made the claim; an earlier one of this process does not count. */
    private boolean isForeign() {
        return record.isPresent() && !new String(record.get().value(), StandardCharsets.UTF_8).startsWith(name + ' ');
    }

    private boolean isOwn() {
        return record.isPresent() && Arrays.equals(record.get().value(), claim);
    }

    /**
     * Does what is due: renews the lease, or tries to become the holder.
     *
     * @param mayApply whether it is this VM's turn to apply for a vacant record
     * @param now the present time
     */
    public void tick(boolean mayApply, MonotonicTime now) {
        if (isForeign() && !isVacant()) {
            othersQuietSince = now;
        }
        if (isCalling || isStopping || now.isBefore(nextCall)) {
            return;
        }
        if (isHolder) {
            renew(now);
        } else if (isOwn() && lease.isPresent()) {
            // The answer to the claim was lost, and the claim had taken effect.
            become(record.get().revision());
            renew(now);
        } else if (isVacant() && mayApply) {
            apply(now);
        }
    }

    private void renew(MonotonicTime now) {
        isCalling = true;
        store.renewLease(lease.orElseThrow(), answer -> {
            isCalling = false;
            switch (answer) {
                case StoreResult.Success<Duration> success -> {
                    renewedAt = now;
                    heldUntil = now.plus(orderingPart(success.value()));
                    nextCall = now.plus(success.value().dividedBy(RENEWALS_PER_LEASE));
                }
                case StoreResult.Rejected<Duration> rejected -> lose(rejected.reason());
                case StoreResult.Unavailable<Duration> unavailable -> {
                    nextCall = now.plus(RENEWAL_RETRY_PAUSE);
                    if (now.since(renewedAt).compareTo(RENEWAL_PATIENCE) >= 0) {
                        resign(unavailable.reason());
                    }
                }
            }
        });
    }

    private void apply(MonotonicTime now) {
        isCalling = true;
        store.grantLease(turn, answer -> {
            boolean isStillWanted = isVacant() && !isStopping;
            if (answer instanceof StoreResult.Success<Long> granted && isStillWanted) {
                lease = OptionalLong.of(granted.value());
                claim(granted.value(), now);
                return;
            }
            if (answer instanceof StoreResult.Success<Long> granted) {
                store.endLease(granted.value());
            }
            isCalling = false;
            nextCall = now.plus(RETRY_PAUSE);
        });
    }

    private void claim(long grantedLease, MonotonicTime appliedAt) {
        // The lease's number tells this claim from an earlier one whose answer was lost.
        claim = (name + ' ' + grantedLease).getBytes(StandardCharsets.UTF_8);
        isClaimSeen = false;
        long replacedRevision = record.map(StoreItem::revision).orElse(0L);
        store.commit(
                List.of(new Store.Condition(key, replacedRevision)),
                List.of(new Store.Write(key, claim, lease)),
                List.of(),
                answer -> {
                    isCalling = false;
                    nextCall = appliedAt;
                    switch (answer) {
                        case StoreResult.Success<Long> success -> {
                            renewedAt = appliedAt;
                            heldUntil = appliedAt.plus(orderingPart(turn));
                            become(success.value());
                        }
                        case StoreResult.Rejected<Long> rejected -> {
                            lease.ifPresent(store::endLease);
                            lease = OptionalLong.empty();
                            nextCall = appliedAt.plus(RETRY_PAUSE);
                        }
                        case StoreResult.Unavailable<Long> unavailable -> nextCall = appliedAt.plus(RETRY_PAUSE);
                    }
                });
    }

    private void become(long revision) {
        isHolder = true;
        fencingToken = revision;
        lastOrderAt = Optional.empty();
        ownResignation = Optional.empty();
        LOG.event("placement_lease_taken", "fencing_token", revision);
    }

    /** The store says that the claim has ended. */
    private void lose(String reason) {
        LOG.event("placement_lease_lost", "fencing_token", fencingToken, "reason", reason);
        isHolder = false;
        lease = OptionalLong.empty();
    }

    private void resign(String reason) {
        if (!isHolder) {
            return;
        }
        LOG.event("placement_resigned", "fencing_token", fencingToken, "reason", reason);
        ownResignation = Optional.of(new Resignation(fencingToken, lastOrderAt));
        isHolder = false;
        lease = OptionalLong.empty();
    }

    /** Stops ordering and gives the claim up. */
    public void stop() {
        isStopping = true;
        resign("the process stops");
    }
}
