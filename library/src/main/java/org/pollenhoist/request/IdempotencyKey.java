package org.pollenhoist.request;

import java.nio.charset.StandardCharsets;
import org.pollenhoist.common.TeamName;

/**
 * An idempotency key of a caller. Keys of different teams are independent of each other.
 *
 * @param team the team
 * @param key the value of the Idempotency-Key header
 */
public record IdempotencyKey(TeamName team, String key) {

    /**
     * Returns the key's digest, which represents the key in messages between VMs.
     *
     * @return the digest
     */
    public RequestFingerprint digest() {
        return RequestFingerprint.of(team.value(), "idempotency-key", key.getBytes(StandardCharsets.UTF_8));
    }
}
