package org.pollenhoist.limit;

import java.time.Duration;

/**
 * How long home shares last without contact to the platform.
 *
 * @param floatDuration how long the half that others may take over soon lasts
 * @param floorDuration how long the other half lasts
 * @param renewalInterval how often the short lease is renewed and the record read
 * @param retryInterval how soon a renewal that failed is tried again
 * @param floorRenewalInterval how often the long lease is renewed
 * @param margin how much earlier the holder counts a lease as ended than the platform
 * @param quarantine how long parts of a process that has ended stay unused, since loans of its may still run
 */
public record HomeLeaseSettings(
        Duration floatDuration,
        Duration floorDuration,
        Duration renewalInterval,
        Duration retryInterval,
        Duration floorRenewalInterval,
        Duration margin,
        Duration quarantine) {

    /**
     * Returns the settings for everyday use. Between two renewals at least 11 minutes are left, so that an outage of
     * the platform of 10 minutes costs nothing.
     *
     * @return the settings
     */
    public static HomeLeaseSettings defaults() {
        return new HomeLeaseSettings(
                Duration.ofMinutes(15),
                Duration.ofHours(24),
                Duration.ofMinutes(3).plusSeconds(45),
                Duration.ofSeconds(15),
                Duration.ofHours(1),
                Duration.ofSeconds(15),
                Duration.ofSeconds(35));
    }
}
