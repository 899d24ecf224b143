package org.pollenhoist.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.platform.PlatformService;
import org.pollenhoist.platform.StoredValue;
import org.pollenhoist.platform.WriteOutcome;

/** Publishes a domain's plan and reads those of the others. Used by one thread. */
final class PlanExchange {

    private static final DecisionLog LOG = DecisionLog.of("placement");

    private final PlatformService platform;
    private final FailureDomain domain;
    private final Duration interval;
    private List<PlacementPlan> others = List.of();
    private Optional<PlacementPlan> own = Optional.empty();
    private Optional<PlacementPlan> published = Optional.empty();
    private long ownVersion;
    private Optional<MonotonicTime> readAt = Optional.empty();
    private Optional<MonotonicTime> publishedAt = Optional.empty();

    PlanExchange(PlatformService platform, FailureDomain domain, Duration interval) {
        this.platform = platform;
        this.domain = domain;
        this.interval = interval;
    }

    List<PlacementPlan> others() {
        return others;
    }

    Optional<PlacementPlan> own() {
        return own;
    }

    /** Reads all plans where it is time to; without an answer nothing is known of other domains. */
    void exchange(MonotonicTime now) {
        if (readAt.isPresent() && now.since(readAt.get()).compareTo(interval) < 0) {
            return;
        }
        readAt = Optional.of(now);
        List<PlacementPlan> read = new ArrayList<>();
        try {
            for (StoredValue value : platform.list(PlacementPlan.KEY_PREFIX).values()) {
                PlacementPlan plan = PlacementPlan.decode(value.key(), value.content());
                if (plan.domain().equals(domain.value())) {
                    ownVersion = value.version();
                } else {
                    read.add(plan);
                }
            }
        } catch (PollenhoistException exception) {
            LOG.event("plans_unread", "domain", domain, "reason", exception.getMessage());
            read.clear();
        }
        others = List.copyOf(read);
    }

    /** Forgets what was read and published, when this process stops acting. */
    void forget() {
        others = List.of();
        own = Optional.empty();
        published = Optional.empty();
        readAt = Optional.empty();
        publishedAt = Optional.empty();
    }

    /**
     * Publishes the domain's plan where it has changed and it is time to. The record ends with the lease, so that no
     * other domain relies on the copies of one that has gone.
     */
    void publish(PlacementPlan plan, Optional<String> lease, MonotonicTime now) {
        own = Optional.of(plan);
        boolean isEarly =
                publishedAt.isPresent() && now.since(publishedAt.get()).compareTo(interval) < 0;
        if (isEarly || published.equals(own)) {
            return;
        }
        publishedAt = Optional.of(now);
        try {
            WriteOutcome outcome = platform.compareAndSwap(PlacementPlan.key(domain), ownVersion, plan.encode(), lease);
            switch (outcome) {
                case WriteOutcome.Written written -> {
                    ownVersion = written.version();
                    published = own;
                }
                case WriteOutcome.Conflict conflict -> ownVersion = conflict.actualVersion();
                case WriteOutcome.Unknown unknown -> published = Optional.empty();
            }
        } catch (PollenhoistException exception) {
            LOG.event("plan_unpublished", "domain", domain, "reason", exception.getMessage());
        }
    }
}
