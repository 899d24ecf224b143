package org.pollenhoist.serving.limit;

import java.util.Collection;
import org.pollenhoist.routing.Rendezvous;

/**
 * Divides the request rate that an upstream accepts among VMs. Each VM computes its share by itself from the VMs that
 * it knows to be alive, so that no messages are needed. Below a certain rate a share would be used too rarely to be of
 * use; then a few VMs hold the whole limit and the others send their requests elsewhere.
 */
public final class RequestRateShare {

    /** Lowest share, in requests per second: a VM that has just used its share waits four seconds for the next. */
    private static final double MINIMUM_SHARE_PER_SECOND = 0.25;

    /** Number of shares whose first requests, which may coincide, are within the tolerance of any limit. */
    private static final int MAXIMUM_SHARES_OF_LOW_RATE = 4;

    private RequestRateShare() {}

    /**
     * Returns the share of a VM.
     *
     * @param upstream the identifier of the upstream
     * @param limitPerSecond the requests a second that it accepts from all VMs together
     * @param vm the VM
     * @param others the other VMs that may send requests to it
     * @return the requests a second that the VM may send; 0 if others hold the limit
     */
    public static double of(String upstream, double limitPerSecond, String vm, Collection<String> others) {
        int shares = Math.min(shareCount(limitPerSecond), others.size() + 1);
        long key = Rendezvous.hash(upstream);
        long own = Rendezvous.weight(key, vm);
        long ahead = others.stream()
                .filter(other -> Rendezvous.weight(key, other) > own)
                .count();
        return ahead < shares ? limitPerSecond / shares : 0;
    }

    private static int shareCount(double limitPerSecond) {
        double maximum = MAXIMUM_SHARES_OF_LOW_RATE + limitPerSecond;
        return (int) Math.clamp(limitPerSecond / MINIMUM_SHARE_PER_SECOND, 1, maximum);
    }
}
