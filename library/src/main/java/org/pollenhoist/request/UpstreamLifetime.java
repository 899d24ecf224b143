package org.pollenhoist.request;

import java.util.Comparator;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.routing.Rendezvous;

/**
 * One lifetime of an upstream: the run of its process from start to end.
 *
 * @param upstream the upstream
 * @param startedMilliseconds the start of its process, in Unix milliseconds; 0 if unknown
 */
public record UpstreamLifetime(UpstreamName upstream, long startedMilliseconds)
        implements Comparable<UpstreamLifetime> {

    private static final Comparator<UpstreamLifetime> ORDER =
            Comparator.comparing(UpstreamLifetime::upstream).thenComparingLong(UpstreamLifetime::startedMilliseconds);

    /**
     * Returns the lifetime of an upstream that does not report its start time.
     *
     * @param upstream the upstream
     * @return the lifetime
     */
    public static UpstreamLifetime ofUnknownStart(UpstreamName upstream) {
        return new UpstreamLifetime(upstream, 0);
    }

    /**
     * Returns a number that represents this lifetime in messages between VMs. Collisions are very unlikely.
     *
     * @return the number, which is the same on all VMs
     */
    public long tag() {
        return Rendezvous.hash(upstream.value() + '/' + startedMilliseconds);
    }

    boolean isStartKnown() {
        return startedMilliseconds != 0;
    }

    @Override
    public int compareTo(UpstreamLifetime other) {
        return ORDER.compare(this, other);
    }
}
