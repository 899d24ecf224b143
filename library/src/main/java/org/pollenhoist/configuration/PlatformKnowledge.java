package org.pollenhoist.configuration;

import java.time.Duration;
import java.util.Optional;
import org.pollenhoist.common.MonotonicTime;

/**
 * When the platform last answered this VM, and when it last answered any VM of which this one has word. The second can
 * only age while it is passed on, so that VMs which are cut off together don't keep each other fresh. Confined by its
 * owner's lock.
 */
final class PlatformKnowledge {

    private MonotonicTime ownAnswer;
    private MonotonicTime latestAnswer;

    void recordOwnAnswer(MonotonicTime now) {
        ownAnswer = now;
        recordAnswer(now);
    }

    void recordAnswerOfPeer(Duration age, MonotonicTime now) {
        recordAnswer(now.plus(age.negated()));
    }

    private void recordAnswer(MonotonicTime time) {
        if (latestAnswer == null || latestAnswer.isBefore(time)) {
            latestAnswer = time;
        }
    }

    boolean hasOwnAnswerWithin(Duration bound, MonotonicTime now) {
        return ownAnswer != null && now.since(ownAnswer).compareTo(bound) <= 0;
    }

    Optional<Duration> age(MonotonicTime now) {
        return Optional.ofNullable(latestAnswer).map(now::since);
    }
}
