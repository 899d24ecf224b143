package org.pollenhoist.request;

import java.nio.charset.StandardCharsets;
import org.pollenhoist.common.TeamName;

/**
 * A caller's idempotency key within its team.
 *
 * @param team the team
 * @param key the text of the header
 */
public record IdempotencyKey(TeamName team, String key) {

    /**
     * Returns the key's digest, which stands for it in messages between VMs.
     *
     * @return the digest
     */
    public RequestFingerprint digest() {
        return RequestFingerprint.of(team.value(), "idempotency-key", key.getBytes(StandardCharsets.UTF_8));
    }
}
