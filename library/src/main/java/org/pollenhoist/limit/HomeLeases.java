package org.pollenhoist.limit;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Supplier;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.platform.PlatformService;
import org.pollenhoist.platform.WriteOutcome;

/**
 * The two platform leases under which a process holds its home share: a short one for the half that others may take
 * over soon, and a long one for the rest. Not thread-safe.
 *
 * <p>The holder counts each lease from before the call that granted or renewed it, so its own count ends first.
 */
final class HomeLeases {

    private static final byte[] HELD = "held".getBytes(StandardCharsets.UTF_8);
    private static final byte[] ENDED = "ended".getBytes(StandardCharsets.UTF_8);

    private final PlatformService platform;
    private final HomeLeaseSettings settings;
    private final String prefix;
    private final long incarnation;
    private final Supplier<MonotonicTime> clock;
    private Optional<Lease> floatLease = Optional.empty();
    private Optional<Lease> floorLease = Optional.empty();
    private int generation;

    HomeLeases(
            PlatformService platform,
            HomeLeaseSettings settings,
            String prefix,
            long incarnation,
            Supplier<MonotonicTime> clock) {
        this.platform = platform;
        this.settings = settings;
        this.prefix = prefix;
        this.incarnation = incarnation;
        this.clock = clock;
    }

    private record Lease(String identifier, MonotonicTime renewedAt, MonotonicTime until) {}

    int generation() {
        return generation;
    }

    MonotonicTime floatUntil() {
        return floatLease.orElseThrow().until();
    }

    MonotonicTime floorUntil() {
        return floorLease.orElseThrow().until();
    }

    /**
     * Renews what is due, or takes a new pair where one has ended.
     *
     * @return false where no valid pair could be had now
     */
    boolean keep() {
        if (floatLease.isEmpty() || floorLease.isEmpty()) {
            return takeNewPair();
        }
        floatLease = renew(floatLease.get(), settings.floatDuration());
        MonotonicTime floorDue = floorLease.get().renewedAt().plus(settings.floorRenewalInterval());
        if (!clock.get().isBefore(floorDue)) {
            floorLease = renew(floorLease.get(), settings.floorDuration());
        }
        return (floatLease.isPresent() && floorLease.isPresent()) || takeNewPair();
    }

    /** Forgets the pair, so that the next call takes a new one. */
    void drop() {
        floatLease = Optional.empty();
        floorLease = Optional.empty();
    }

    void revoke() {
        floatLease.ifPresent(lease -> platform.revokeLease(lease.identifier()));
        floorLease.ifPresent(lease -> platform.revokeLease(lease.identifier()));
        drop();
    }

    private boolean takeNewPair() {
        generation++;
        drop();
        Optional<Lease> newFloat = take("float", settings.floatDuration());
        Optional<Lease> newFloor = take("floor", settings.floorDuration());
        if (newFloat.isEmpty() || newFloor.isEmpty()) {
            return false;
        }
        floatLease = newFloat;
        floorLease = newFloor;
        return true;
    }

    private Optional<Lease> take(String kind, Duration duration) {
        MonotonicTime begin = clock.get();
        String identifier = platform.grantLease(duration);
        WriteOutcome outcome =
                platform.compareAndSwap(key(prefix, incarnation, generation, kind), 0, HELD, Optional.of(identifier));
        boolean isWritten = outcome instanceof WriteOutcome.Written;
        return isWritten ? Optional.of(lease(identifier, begin, duration)) : Optional.empty();
    }

    private Optional<Lease> renew(Lease lease, Duration duration) {
        MonotonicTime begin = clock.get();
        boolean isHeld = platform.renewLease(lease.identifier());
        return isHeld ? Optional.of(lease(lease.identifier(), begin, duration)) : Optional.empty();
    }

    private Lease lease(String identifier, MonotonicTime begin, Duration duration) {
        return new Lease(identifier, begin, begin.plus(duration.minus(settings.margin())));
    }

    /**
     * Tells whether a lease of another process has ended, and closes its key for good where it has. The write is what
     * proves it: a read may be answered from before.
     */
    static boolean hasEnded(
            PlatformService platform, Optional<byte[]> content, String prefix, HomeRecord.Member member, String kind) {
        if (content.isPresent()) {
            return Arrays.equals(content.get(), ENDED);
        }
        String key = key(prefix, member.incarnation(), member.generation(), kind);
        return platform.compareAndSwap(key, 0, ENDED, Optional.empty()) instanceof WriteOutcome.Written;
    }

    static String key(String prefix, long incarnation, int generation, String kind) {
        return prefix + "leases/" + Long.toHexString(incarnation) + "-" + generation + "-" + kind;
    }
}
