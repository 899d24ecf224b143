package org.pollenhoist.serving.placement;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.store.Store;
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.store.StoreLease;
import org.pollenhoist.serving.store.StoreResult;
import org.pollenhoist.serving.store.StoreRevision;

/**
 * Elects the placement leader, the only VM that sends orders on models and adapters to engines: the VM whose claim is
 * present in the store under a lease.
 *
 * <p>The leader sends orders only in the first half of the time for which its lease was last granted or renewed. A new
 * leader sends no orders until a whole handover interval has passed since the latest possible order of any other VM. A
 * VM that stops, or that cannot renew its lease, resigns: it announces the time of its last order to its peers, so that
 * another VM can replace its claim at once. It does not end its lease. Therefore a claim that disappears without a
 * resignation has expired, and the last order under it was sent at least half a lease before. Confined to the event
 * loop.
 */
public final class Leadership {

    /**
     * A claim whose holder has resigned.
     *
     * @param claimRevision the revision of the claim in the store; its number is the fencing token of orders under it
     * @param lastOrderAt the time of the last order under the claim, empty if none was sent
     */
    public record Resignation(StoreRevision claimRevision, Optional<MonotonicTime> lastOrderAt) {}

    /** Delay after a failed call to the store. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    /** Delay after a failed renewal; shorter, because the lease expires otherwise. */
    private static final Duration RENEWAL_RETRY_DELAY = Duration.ofMillis(250);

    /** Time without a successful renewal after which the holder resigns: a renewal and a retry have failed by then. */
    private static final Duration RENEWAL_TIMEOUT = Duration.ofMillis(1_200);

    /**
     * How often a claim is rewritten in one tick while its revision is too low. With a tick every 50 ms, this is less
     * than half of the writes that a store accepts from the whole fleet.
     */
    private static final int MAXIMUM_RAISES_PER_TICK = 8;

    private static final DecisionLog LOG = DecisionLog.of("placement");

    private final Store store;
    private final String key;
    private final String name;
    private final Duration handoverInterval;
    private final HandoverTimes times;
    private Optional<StoreItem> record = Optional.empty();
    private Optional<Resignation> receivedResignation = Optional.empty();
    private Optional<Resignation> ownResignation = Optional.empty();
    private Optional<MonotonicTime> lastOrderAt = Optional.empty();
    private Optional<StoreLease> lease = Optional.empty();
    private byte[] claim = {};
    private StoreRevision claimRevision = StoreRevision.NONE;
    private long highestKnownToken;
    private Optional<StoreRevision> claimToRaise = Optional.empty();
    private int raisesInTick;
    private MonotonicTime renewedAt;
    private MonotonicTime maySendOrdersUntil;
    private MonotonicTime latestOrderByOthers;
    private MonotonicTime latestOrderByOthersBeforeRecord;
    private MonotonicTime latestOrderOfEarlierEra;
    private Optional<MonotonicTime> recordPresentSince = Optional.empty();
    private MonotonicTime nextCallAt;
    private boolean isCallPending;
    private boolean isHolder;
    private boolean isClaimConfirmed;
    private boolean isStopping;
    private boolean isClaimInDoubt;
    private boolean wasOnlyLeader;

    /**
     * Creates a candidate for the leadership.
     *
     * @param store the store
     * @param key the key of the claim in the store
     * @param name the name of this process in its claims, unique among all processes
     * @param handoverInterval the minimum time between the last order of one leader and the first order of the next;
     *     also the requested duration of the lease
     * @param isFirstStart true if no VM can have sent orders before the start of this one
     * @param now the present time
     */
    public Leadership(
            Store store, String key, String name, Duration handoverInterval, boolean isFirstStart, MonotonicTime now) {
        this.store = store;
        this.key = key;
        this.name = name;
        this.handoverInterval = handoverInterval;
        this.times = new HandoverTimes(handoverInterval);
        this.renewedAt = now;
        this.maySendOrdersUntil = now;
        this.nextCallAt = now;
        this.latestOrderByOthers = isFirstStart ? now.plus(handoverInterval.negated()) : now;
        this.latestOrderByOthersBeforeRecord = latestOrderByOthers;
        this.latestOrderOfEarlierEra = latestOrderByOthers;
    }

    /**
     * Tells whether this VM may send orders.
     *
     * @param now the present time, on a clock that keeps running while the VM is suspended
     * @return true if it may send orders now
     */
    public boolean maySendOrders(MonotonicTime now) {
        return isHolder
                && isClaimConfirmed
                && !isStopping
                && now.isBefore(maySendOrdersUntil)
                && !now.isBefore(maySendOrdersFrom());
    }

    private MonotonicTime maySendOrdersFrom() {
        MonotonicTime latest =
                latestOrderByOthers.isBefore(latestOrderOfEarlierEra) ? latestOrderOfEarlierEra : latestOrderByOthers;
        return latest.plus(handoverInterval);
    }

    /**
     * Tells whether this VM holds the lease. It may have to wait before it may send orders.
     *
     * @return true if the claim is its own, as far as it knows
     */
    public boolean isHolder() {
        return isHolder;
    }

    /**
     * Returns the fencing token that each order carries: the revision of the claim, greater than every token that this
     * VM or its peers know to have been used.
     *
     * @return the fencing token
     */
    public long fencingToken() {
        return claimRevision.number();
    }

    /**
     * Returns the highest fencing token that is known to have been used, for the peers: after the store has come back
     * from an older copy, a claim may get a lower revision.
     *
     * @return the token, 0 if none is known
     */
    public long highestKnownToken() {
        return isHolder ? Math.max(highestKnownToken, fencingToken()) : highestKnownToken;
    }

    /**
     * Records that a fencing token has been used. A leader with a lower one sends no orders until the revision of its
     * claim is higher.
     *
     * @param token the token that a peer reports, 0 if the peer knows none
     */
    public void onTokenUsed(long token) {
        highestKnownToken = Math.max(highestKnownToken, token);
        if (isHolder && highestKnownToken > fencingToken()) {
            isHolder = false;
            claimToRaise = Optional.of(claimRevision);
            LOG.event("placement_suspended", "fencing_token", fencingToken(), "highest_known", highestKnownToken);
        }
    }

    /**
     * Records that an order is sent.
     *
     * @param now the present time
     */
    public void recordOrder(MonotonicTime now) {
        lastOrderAt = Optional.of(now);
    }

    /**
     * Returns the resignation that is announced to the peers.
     *
     * @return the resignation, empty if this VM holds the lease or never did
     */
    public Optional<Resignation> resignation() {
        return ownResignation;
    }

    /**
     * Processes the resignation of a peer. It is ignored unless it refers to the claim that is present in the store.
     *
     * @param resignation the resignation that the peer announces
     */
    public void onResignation(Resignation resignation) {
        boolean isRelevant = record.isPresent()
                && record.get().revision().equals(resignation.claimRevision())
                && !isVacant()
                && !isOwnClaim();
        if (isRelevant) {
            receivedResignation = Optional.of(resignation);
            latestOrderByOthers = resignation.lastOrderAt().orElse(latestOrderByOthersBeforeRecord);
            LOG.event("placement_resignation_heard", "claim", resignation.claimRevision());
        }
    }

    /**
     * Processes a change of the claim in the store.
     *
     * @param changed the record with the claim, empty if it was removed
     * @param now the present time
     */
    public void onRecord(Optional<StoreItem> changed, MonotonicTime now) {
        boolean wasClaimOfOther = isClaimOfOther();
        boolean wasVacant = isVacant();
        if (wasClaimOfOther && !wasVacant) {
            latestOrderByOthers =
                    hasExpired(now) ? now.plus(times.minimumSilenceAtExpiry().negated()) : now;
        }
        record = changed;
        recordPresentSince = changed.map(item -> now);
        if (changed.isPresent() && isOwnClaim()) {
            confirmClaim(changed.get().revision());
            return;
        }
        claimToRaise = Optional.empty();
        changed.ifPresent(item ->
                highestKnownToken = Math.max(highestKnownToken, item.revision().number()));
        if (isClaimOfOther()) {
            latestOrderByOthersBeforeRecord = latestOrderByOthers;
            latestOrderByOthers = now;
        }
        boolean isReplaced = changed.isPresent() && highestKnownToken > fencingToken();
        if (isHolder && (isClaimConfirmed || isReplaced)) {
            loseLeadership("the claim is no longer in the store");
        }
    }

    private void confirmClaim(StoreRevision revision) {
        if (isHolder && !revision.isOfSameEra(claimRevision)) {
            // The copy has the claim, so it has the lease that the claim was written with.
            lease = lease.map(granted -> new StoreLease(revision.era(), granted.number()));
            continueClaim(revision);
        }
        isClaimConfirmed = !isHolder || !claimRevision.isAfter(revision);
    }

    /** Keeps the leadership in a new era, unless orders were sent with a higher number than that of the copy. */
    private void continueClaim(StoreRevision revision) {
        isClaimInDoubt = false;
        if (revision.number() >= fencingToken()) {
            claimRevision = revision;
            return;
        }
        highestKnownToken = highestKnownToken();
        isHolder = false;
        claimToRaise = Optional.of(revision);
        LOG.event("placement_suspended", "claim", revision, "highest_known", highestKnownToken);
    }

    /**
     * Stops sending orders because the store has come back from an older copy, until the listing of the copy shows
     * whether the claim still exists. Another VM that led before, and has not heard of the new era, may send orders for
     * the rest of its ordering time; a claim of it that is missing in the copy has not expired.
     *
     * @param now the present time
     */
    public void onNewEra(MonotonicTime now) {
        wasOnlyLeader = isHolder && isClaimConfirmed && now.isBefore(maySendOrdersUntil);
        if (!wasOnlyLeader) {
            latestOrderOfEarlierEra = now.plus(HandoverTimes.orderingTime(handoverInterval));
        }
        isClaimInDoubt = isHolder;
        isClaimConfirmed = false;
        claimToRaise = Optional.empty();
        LOG.event("placement_in_doubt", "holder", isHolder, "claim", claimRevision, "only_leader", wasOnlyLeader);
    }

    /** Tells whether the removed record may have been present for a whole lease, so that it may have expired. */
    private boolean hasExpired(MonotonicTime now) {
        return recordPresentSince
                .map(since -> now.since(since).compareTo(handoverInterval) >= 0)
                .orElse(true);
    }

    /**
     * Accounts for changes of the record that may have been missed. Any VM may have sent orders until its claim
     * expired, unless this one held the lease throughout.
     *
     * @param now the present time
     */
    public void onMissedChanges(MonotonicTime now) {
        if (isClaimInDoubt) {
            loseLeadership("the copy does not have the claim");
            if (wasOnlyLeader) {
                return;
            }
        }
        if (isHolder && now.isBefore(maySendOrdersUntil)) {
            return;
        }
        latestOrderByOthers = record.isPresent()
                ? now
                : now.plus(times.minimumSilenceAtExpiry().negated());
        latestOrderByOthersBeforeRecord = latestOrderByOthers;
        recordPresentSince = Optional.empty();
    }

    /**
     * Tells whether a VM may claim the leadership.
     *
     * @return true if there is no claim, or its holder has resigned
     */
    public boolean isVacant() {
        return record.isEmpty()
                || Stream.of(receivedResignation, ownResignation)
                        .flatMap(Optional::stream)
                        .anyMatch(resigned ->
                                resigned.claimRevision().equals(record.get().revision()));
    }

    /** Tells whether another process made the claim. An earlier claim of this process does not count. */
    private boolean isClaimOfOther() {
        return record.isPresent() && !new String(record.get().value(), StandardCharsets.UTF_8).startsWith(name + ' ');
    }

    private boolean isOwnClaim() {
        return record.isPresent() && Arrays.equals(record.get().value(), claim);
    }

    /**
     * Renews the lease if this is due, or tries to become the leader.
     *
     * @param mayApply whether this VM may apply for a vacant leadership now
     * @param now the present time
     */
    public void tick(boolean mayApply, MonotonicTime now) {
        if (isClaimOfOther() && !isVacant()) {
            latestOrderByOthers = now;
        }
        if (isCallPending || isStopping || isClaimInDoubt || now.isBefore(nextCallAt)) {
            return;
        }
        raisesInTick = 0;
        if (isHolder) {
            renew(now);
        } else if (claimToRaise.isPresent() && lease.isPresent()) {
            raiseOrRenew(now);
        } else if (isOwnClaim() && lease.isPresent()) {
            // The claim took effect, but the response to it was lost.
            onClaimed(record.get().revision(), now);
            if (isHolder) {
                renew(now);
            }
        } else if (isVacant() && mayApply) {
            applyForLease(now);
        }
    }

    private void renew(MonotonicTime now) {
        isCallPending = true;
        store.renewLease(lease.orElseThrow(), response -> {
            isCallPending = false;
            switch (response) {
                case StoreResult.Success<Duration> success -> {
                    renewedAt = now;
                    maySendOrdersUntil = now.plus(HandoverTimes.orderingTime(success.value()));
                    nextCallAt = isHolder ? now.plus(HandoverTimes.renewalInterval(success.value())) : now;
                }
                case StoreResult.Rejected<Duration> rejected -> loseLeadership(rejected.reason());
                case StoreResult.Unavailable<Duration> unavailable -> {
                    nextCallAt = now.plus(RENEWAL_RETRY_DELAY);
                    if (now.since(renewedAt).compareTo(RENEWAL_TIMEOUT) >= 0) {
                        resign(unavailable.reason());
                    }
                }
            }
        });
    }

    private void applyForLease(MonotonicTime now) {
        isCallPending = true;
        store.grantLease(handoverInterval, response -> {
            boolean isLeaseStillNeeded = isVacant() && !isStopping;
            if (response instanceof StoreResult.Success<StoreLease> granted && isLeaseStillNeeded) {
                lease = Optional.of(granted.value());
                writeClaim(granted.value(), now);
                return;
            }
            if (response instanceof StoreResult.Success<StoreLease> granted) {
                store.endLease(granted.value());
            }
            isCallPending = false;
            nextCallAt = now.plus(RETRY_DELAY);
        });
    }

    private void writeClaim(StoreLease grantedLease, MonotonicTime appliedAt) {
        // The identifier of the lease distinguishes this claim from an earlier one whose response was lost.
        claim = (name + ' ' + grantedLease.number()).getBytes(StandardCharsets.UTF_8);
        isClaimConfirmed = false;
        commitClaim(record.map(StoreItem::revision).orElse(StoreRevision.NONE), appliedAt);
    }

    private void commitClaim(StoreRevision replacedRevision, MonotonicTime appliedAt) {
        store.commit(
                List.of(new Store.Condition(key, replacedRevision)),
                List.of(new Store.Write(key, claim, lease)),
                List.of(),
                response -> {
                    isCallPending = false;
                    nextCallAt = appliedAt;
                    switch (response) {
                        case StoreResult.Success<StoreRevision> success -> {
                            renewedAt = appliedAt;
                            maySendOrdersUntil = appliedAt.plus(HandoverTimes.orderingTime(handoverInterval));
                            onClaimed(success.value(), appliedAt);
                        }
                        case StoreResult.Rejected<StoreRevision> rejected -> {
                            lease.ifPresent(store::endLease);
                            lease = Optional.empty();
                            claimToRaise = Optional.empty();
                            nextCallAt = appliedAt.plus(RETRY_DELAY);
                        }
                        case StoreResult.Unavailable<StoreRevision> unavailable ->
                            nextCallAt = appliedAt.plus(RETRY_DELAY);
                    }
                });
    }

    private void onClaimed(StoreRevision revision, MonotonicTime now) {
        if (revision.number() > highestKnownToken) {
            takeLeadership(revision);
            return;
        }
        if (claimToRaise.isEmpty()) {
            LOG.event("placement_claim_too_low", "revision", revision, "highest_known", highestKnownToken);
        }
        claimToRaise = Optional.of(revision);
        if (raisesInTick < MAXIMUM_RAISES_PER_TICK) {
            raise(now);
        }
    }

    /** Writes the claim again, so that it gets a higher revision. */
    private void raise(MonotonicTime now) {
        raisesInTick++;
        isCallPending = true;
        isClaimConfirmed = false;
        commitClaim(claimToRaise.orElseThrow(), now);
    }

    private void raiseOrRenew(MonotonicTime now) {
        if (now.since(renewedAt).compareTo(HandoverTimes.renewalInterval(handoverInterval)) >= 0) {
            renew(now);
        } else {
            raise(now);
        }
    }

    private void takeLeadership(StoreRevision revision) {
        isHolder = true;
        claimRevision = revision;
        claimToRaise = Optional.empty();
        lastOrderAt = Optional.empty();
        ownResignation = Optional.empty();
        LOG.event("placement_lease_taken", "fencing_token", fencingToken(), "claim", revision);
    }

    /** Ends the leadership because the lease or the claim has ended in the store. */
    private void loseLeadership(String reason) {
        LOG.event("placement_lease_lost", "fencing_token", fencingToken(), "reason", reason);
        endLeadership();
    }

    private void endLeadership() {
        isClaimInDoubt = false;
        highestKnownToken = highestKnownToken();
        isHolder = false;
        claimToRaise = Optional.empty();
        lease = Optional.empty();
    }

    private void resign(String reason) {
        if (!isHolder) {
            return;
        }
        LOG.event("placement_resigned", "fencing_token", fencingToken(), "reason", reason);
        ownResignation = Optional.of(new Resignation(claimRevision, lastOrderAt));
        endLeadership();
    }

    /** Stops sending orders and resigns. */
    public void stop() {
        isStopping = true;
        resign("the process is stopping");
    }
}
