package org.pollenhoist.standins.platform;

import java.time.Duration;
import java.util.List;
import org.pollenhoist.standins.platform.VmEntry.VmList;

/** The list of VMs, whose changes show only after their lag. Not safe for use by several threads. */
public final class LaggingVmList {

    private VmList shown = new VmList(List.of());
    private VmList next = shown;
    private Duration visibleFrom = Duration.ZERO;

    /**
     * Changes the list.
     *
     * @param changed the new list
     * @param lag how long the old one still answers
     * @param now the present time
     */
    public void change(VmList changed, Duration lag, Duration now) {
        shown = read(now);
        next = changed;
        visibleFrom = now.plus(lag);
    }

    /**
     * Reads the list.
     *
     * @param now the present time
     * @return the list as it shows
     */
    public VmList read(Duration now) {
        return now.compareTo(visibleFrom) >= 0 ? next : shown;
    }
}
