package org.pollenhoist.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.common.VmName;

/**
 * The upstreams that the platform lists as leaving, as read by a few VMs of each failure domain and told to the others.
 * The platform counts each read, so not every VM reads.
 *
 * <p>Thread-safe; the lock is a leaf.
 */
public final class LeavingLists {

    private static final int READERS_PER_DOMAIN = 2;

    private static final long KEY = Rendezvous.hash("list of leaving upstreams");

    /** A reader that was not heard for so long no longer counts; it may have gone, or be cut off from the platform. */
    private static final Duration KEPT = Duration.ofSeconds(10);

    private final Map<VmName, Reading> readings = new HashMap<>();

    /** Creates lists without any reading. */
    public LeavingLists() {}

    /**
     * Tells whether a VM reads the platform's list.
     *
     * @param self the VM
     * @param domainVms the VMs of its failure domain that are up, {@code self} included
     * @return true for a few of them
     */
    public static boolean isReader(VmName self, Collection<VmName> domainVms) {
        return Rendezvous.rank(KEY, domainVms).stream()
                .limit(READERS_PER_DOMAIN)
                .anyMatch(self::equals);
    }

    /**
     * Notes what a VM has read.
     *
     * @param reader the VM
     * @param leaving the upstreams that it found leaving
     * @param now the present time
     */
    public synchronized void record(VmName reader, Set<UpstreamName> leaving, MonotonicTime now) {
        readings.put(reader, new Reading(Set.copyOf(leaving), now));
    }

    /**
     * Returns the upstreams that any reader of late found leaving.
     *
     * @param now the present time
     * @return their names
     */
    public synchronized Set<UpstreamName> leaving(MonotonicTime now) {
        readings.values().removeIf(reading -> now.since(reading.at()).compareTo(KEPT) > 0);
        Set<UpstreamName> all = new HashSet<>();
        readings.values().forEach(reading -> all.addAll(reading.leaving()));
        return all;
    }

    private record Reading(Set<UpstreamName> leaving, MonotonicTime at) {}
}
