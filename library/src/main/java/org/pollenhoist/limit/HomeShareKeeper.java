package org.pollenhoist.limit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.common.VmName;
import org.pollenhoist.platform.PlatformService;
import org.pollenhoist.platform.StoredValue;
import org.pollenhoist.platform.WriteOutcome;

/**
 * Keeps a process's home share in the platform's record and in the table of shares. Not thread-safe: one thread calls
 * {@link #step} again after the time that the last call returned.
 */
public final class HomeShareKeeper {

    /** Surplus that is not worth a write, as a part of every limit. */
    private static final long LEAST_GIFT = Parts.WHOLE / 1000;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final DecisionLog LOG = DecisionLog.of("limit");

    private final PlatformService platform;
    private final ShareTable table;
    private final HomeLeaseSettings settings;
    private final Place place;
    private final Supplier<MonotonicTime> clock;
    private final String prefix;
    private final HomeLeases leases;
    private final List<Held> held = new ArrayList<>();
    private boolean mustFence;
    private long knownVersion;
    private int confirmedGeneration;

    /**
     * Creates a keeper.
     *
     * @param platform the platform's service
     * @param table the table that uses the home share
     * @param settings how long home shares last
     * @param place whose share is kept
     * @param clock the process's clock
     */
    public HomeShareKeeper(
            PlatformService platform,
            ShareTable table,
            HomeLeaseSettings settings,
            Place place,
            Supplier<MonotonicTime> clock) {
        this.platform = platform;
        this.table = table;
        this.settings = settings;
        this.place = place;
        this.clock = clock;
        this.prefix = "limits/" + place.failureDomain() + "/";
        this.leases = new HomeLeases(platform, settings, prefix, place.incarnation(), clock);
    }

    /**
     * Whose share is kept.
     *
     * @param failureDomain the failure domain
     * @param failureDomainParts the failure domain's parts of every team's limit, the same for all its VMs
     * @param vm the VM
     * @param incarnation the process
     * @param address IP number and port on which the process already listens for other VMs
     */
    public record Place(
            FailureDomain failureDomain, long failureDomainParts, VmName vm, long incarnation, String address) {}

    /** Parts with the time from which they may be used. */
    private record Held(long parts, MonotonicTime from) {}

    /** What was read of the failure domain. */
    private record Snapshot(HomeRecord record, long version, Map<String, byte[]> leaseContents) {

        Snapshot afterWrite() {
            return new Snapshot(record.next(), version + 1, leaseContents);
        }
    }

    /**
     * Renews the leases, takes over what others left, and evens out the home shares of the failure domain. Where the
     * platform can't be reached, nothing changes: the share that is held ends by itself.
     *
     * @return how long to wait before the next step
     */
    public Duration step() {
        try {
            if (leases.keep()) {
                publish();
                return update(read()) ? settings.renewalInterval() : settings.retryInterval();
            }
        } catch (PollenhoistException failure) {
            LOG.event(
                    "home_share",
                    "outcome",
                    "unchanged",
                    "reason",
                    failure.code().text());
        }
        return settings.retryInterval();
    }

    /** Gives the home share up before a planned stop. */
    public void leave() {
        MonotonicTime now = clock.get();
        long usable = held.stream()
                .filter(part -> !now.isBefore(part.from()))
                .mapToLong(Held::parts)
                .sum();
        held.clear();
        table.setHome(HomeShare.none(), now);
        try {
            Snapshot snapshot = read();
            write(snapshot, snapshot.record().leave(place.incarnation(), usable - table.lentParts(now)));
            leases.revoke();
        } catch (PollenhoistException failure) {
            LOG.event(
                    "home_share",
                    "outcome",
                    "not_released",
                    "reason",
                    failure.code().text());
        }
    }

    private Snapshot read() {
        Map<String, byte[]> contents = new HashMap<>();
        HomeRecord record = HomeRecord.create(place.failureDomainParts());
        long version = 0;
        for (StoredValue value : platform.list(prefix).values()) {
            if (value.key().equals(recordKey())) {
                record = parse(value.content());
                version = value.version();
            } else {
                contents.put(value.key(), value.content());
            }
        }
        return new Snapshot(record, version, contents);
    }

    private String recordKey() {
        return prefix + "record";
    }

    /** Returns whether the record stands as wanted. */
    private boolean update(Snapshot snapshot) {
        if (snapshot.version() < knownVersion) {
            // A read that was answered from before would bring back parts that were given away since.
            return false;
        }
        if (mustFence && !write(snapshot, snapshot.record())) {
            return false;
        }
        Snapshot current = mustFence ? snapshot.afterWrite() : snapshot;
        mustFence = false;
        knownVersion = Math.max(knownVersion, current.version());
        confirm(current.record(), 0);
        HomeRecord wanted = withGift(withOwnEntry(withoutEnded(current)));
        boolean isWritten = !wanted.equals(current.record()) && write(current, wanted);
        if (isWritten) {
            confirm(wanted, unburdenedBetween(current.record(), wanted));
        }
        publish();
        if (isWritten) {
            table.fillUntouched(current.record().untouched() - wanted.untouched(), clock.get());
        }
        LOG.event(
                "home_share", "parts", heldParts(), "members", wanted.members().size(), "version", knownVersion);
        return isWritten || wanted.equals(current.record());
    }

    /** Returns the parts that were taken and on which no loan can rest. */
    private static long unburdenedBetween(HomeRecord before, HomeRecord after) {
        return before.untouched() - after.untouched() + before.vacated() - after.vacated();
    }

    private void confirm(HomeRecord record, long unburdenedParts) {
        reconcile(record, unburdenedParts);
        confirmedGeneration = record.find(place.incarnation())
                .filter(member -> !member.isFloatReleased())
                .map(HomeRecord.Member::generation)
                .orElse(0);
    }

    private HomeRecord withoutEnded(Snapshot snapshot) {
        HomeRecord record = snapshot.record();
        for (HomeRecord.Member member : snapshot.record().members()) {
            if (member.incarnation() == place.incarnation()) {
                continue;
            }
            if (hasEnded(snapshot, member, "floor")) {
                record = record.remove(member.incarnation());
            } else if (!member.isFloatReleased() && hasEnded(snapshot, member, "float")) {
                record = record.releaseFloat(member.incarnation());
            }
        }
        return record;
    }

    private boolean hasEnded(Snapshot snapshot, HomeRecord.Member member, String kind) {
        String key = HomeLeases.key(prefix, member.incarnation(), member.generation(), kind);
        Optional<byte[]> content = Optional.ofNullable(snapshot.leaseContents().get(key));
        return HomeLeases.hasEnded(platform, content, prefix, member, kind);
    }

    private HomeRecord withOwnEntry(HomeRecord record) {
        Optional<HomeRecord.Member> own = record.find(place.incarnation());
        HomeRecord joined = record;
        if (own.isEmpty()) {
            joined = record.join(place.vm(), place.incarnation(), place.address(), leases.generation());
        } else if (own.get().generation() != leases.generation() || own.get().isFloatReleased()) {
            joined = record.renew(place.incarnation(), leases.generation());
        }
        return joined.claim(place.incarnation());
    }

    /** Stops using a surplus and returns the record that gives it to others. */
    private HomeRecord withGift(HomeRecord record) {
        long surplus = record.surplus(place.incarnation());
        boolean isWorthwhile =
                surplus >= LEAST_GIFT && surplus <= heldParts() && confirmedGeneration == leases.generation();
        if (!isWorthwhile || !table.canGiveUp(surplus, clock.get())) {
            return record;
        }
        reduceTo(heldParts() - surplus);
        publish();
        return record.give(place.incarnation(), surplus);
    }

    private boolean write(Snapshot snapshot, HomeRecord record) {
        WriteOutcome outcome =
                platform.compareAndSwap(recordKey(), snapshot.version(), format(record.next()), Optional.empty());
        switch (outcome) {
            case WriteOutcome.Written written -> knownVersion = written.version();
            case WriteOutcome.Unknown unknown -> mustFence = true;
            case WriteOutcome.Conflict conflict -> LOG.event("home_share", "outcome", "conflict");
        }
        return outcome instanceof WriteOutcome.Written;
    }

    /** Brings what is held in line with the record: parts that went are dropped at once, new ones are quarantined. */
    private void reconcile(HomeRecord record, long unburdenedParts) {
        long target =
                record.find(place.incarnation()).map(HomeRecord.Member::parts).orElse(0L);
        long added = target - heldParts();
        if (added <= 0) {
            reduceTo(target);
            return;
        }
        long fresh = Math.min(added, unburdenedParts);
        MonotonicTime now = clock.get();
        hold(fresh, now);
        hold(added - fresh, now.plus(settings.quarantine()));
    }

    private void hold(long parts, MonotonicTime from) {
        if (parts > 0) {
            held.add(new Held(parts, from));
        }
    }

    private void reduceTo(long parts) {
        long excess = heldParts() - parts;
        for (int index = held.size() - 1; index >= 0 && excess > 0; index--) {
            Held last = held.remove(index);
            if (last.parts() > excess) {
                held.add(new Held(last.parts() - excess, last.from()));
            }
            excess -= last.parts();
        }
    }

    private long heldParts() {
        return held.stream().mapToLong(Held::parts).sum();
    }

    /** Puts the share in force. Leases that the record does not name yet protect nothing, so they don't extend it. */
    private void publish() {
        if (confirmedGeneration != leases.generation()) {
            return;
        }
        long floor = heldParts() - heldParts() / 2;
        List<HomeShare.Piece> pieces = new ArrayList<>();
        for (Held part : held) {
            long underFloor = Math.min(floor, part.parts());
            floor -= underFloor;
            addPiece(pieces, underFloor, part.from(), leases.floorUntil());
            addPiece(pieces, part.parts() - underFloor, part.from(), leases.floatUntil());
        }
        table.setHome(new HomeShare(pieces), clock.get());
    }

    private static void addPiece(List<HomeShare.Piece> pieces, long parts, MonotonicTime from, MonotonicTime until) {
        if (parts > 0) {
            pieces.add(new HomeShare.Piece(parts, from, until));
        }
    }

    private static HomeRecord parse(byte[] content) {
        try {
            return JSON.readValue(content, HomeRecord.class);
        } catch (IOException unreadable) {
            throw new PollenhoistException(ErrorCode.INTERNAL, "The record of home shares can't be read", unreadable);
        }
    }

    private static byte[] format(HomeRecord record) {
        try {
            return JSON.writeValueAsBytes(record);
        } catch (JsonProcessingException unwritable) {
            throw new PollenhoistException(
                    ErrorCode.INTERNAL, "The record of home shares can't be written", unwritable);
        }
    }
}
