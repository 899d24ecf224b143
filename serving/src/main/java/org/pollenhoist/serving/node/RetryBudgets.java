package org.pollenhoist.serving.node;

import java.util.HashMap;
import java.util.Map;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.request.FleetRetryBudget;

/** This VM's retry budgets, one per service. Confined to the event loop. */
final class RetryBudgets {

    private final Map<String, FleetRetryBudget> budgets = new HashMap<>();
    private final MonotonicTime allowedFrom;
    private ServingSettings settings;

    RetryBudgets(ServingSettings settings, MonotonicTime startedAt) {
        this.settings = settings;
        this.allowedFrom = settings.isFirstStart() ? startedAt : startedAt.plus(settings.retryWindow());
    }

    FleetRetryBudget of(String service) {
        return budgets.computeIfAbsent(
                service,
                name -> new FleetRetryBudget(
                        settings.retryRatio(), settings.retryWindow(), settings.retryAllowance(), allowedFrom));
    }

    /** Applies changed bounds; retries counted under the old bounds stay counted. */
    void configure(ServingSettings changed) {
        settings = changed;
        budgets.values()
                .forEach(budget ->
                        budget.configure(changed.retryRatio(), changed.retryWindow(), changed.retryAllowance()));
    }
}
