package org.pollenhoist.placement;

import java.time.Duration;

/**
 * Times of the coordinator.
 *
 * @param leaseDuration how long the lease on a domain lasts without renewal
 * @param staleAfter after how long a report is not relied on
 * @param lateCopyWindow how long a late copy of a settled order is reckoned with at engines that ignore fencing numbers
 * @param resendAfter after how long an order that the engine does not list is sent again
 * @param forgetSendsAfter after how long it is forgotten when an order was sent
 * @param planInterval how often plans are published and read
 */
public record CoordinatorSettings(
        Duration leaseDuration,
        Duration staleAfter,
        Duration lateCopyWindow,
        Duration resendAfter,
        Duration forgetSendsAfter,
        Duration planInterval) {

    /**
     * Returns the settings for rounds about every second.
     *
     * @return the settings
     */
    public static CoordinatorSettings standard() {
        return new CoordinatorSettings(
                Duration.ofSeconds(10),
                Duration.ofSeconds(4),
                Duration.ofSeconds(30),
                Duration.ofSeconds(2),
                Duration.ofMinutes(10),
                Duration.ofSeconds(5));
    }
}
