package org.pollenhoist.routing;

import java.util.List;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.configuration.Upstream;

/** All that is known of one upstream. Not thread-safe: guarded by the table's lock. */
final class UpstreamEntry {

    /** Keeps a change of few own requests from swinging the estimate. */
    private static final double DAMPING = 2;

    private Upstream definition;
    private final InFlightHistory inFlight = new InFlightHistory();
    private final ConnectFailures failures = new ConnectFailures();
    private final CacheHints hints = new CacheHints();
    private UpstreamReport report;
    private MonotonicTime reportTrueAt;
    private boolean isListedLeaving;
    private boolean hasSignalledLeaving;

    UpstreamEntry(Upstream definition) {
        this.definition = definition;
    }

    void define(Upstream newDefinition) {
        definition = newDefinition;
    }

    Upstream definition() {
        return definition;
    }

    InFlightHistory inFlight() {
        return inFlight;
    }

    ConnectFailures failures() {
        return failures;
    }

    CacheHints hints() {
        return hints;
    }

    /** Takes a report in unless a newer one is known. Returns false where it was ignored. */
    boolean accept(UpstreamReport newReport, MonotonicTime now) {
        MonotonicTime trueAt = now.plus(newReport.age().negated());
        if (report != null && trueAt.isBefore(reportTrueAt)) {
            return false;
        }
        boolean isNewIncarnation = report != null && report.incarnation() != newReport.incarnation();
        if (isNewIncarnation) {
            hasSignalledLeaving = false;
            failures.recordContact();
        }
        hints.startIncarnation(newReport.incarnation());
        report = newReport;
        reportTrueAt = trueAt;
        hasSignalledLeaving |= newReport.isLeaving();
        return true;
    }

    void signalLeaving() {
        hasSignalledLeaving = true;
    }

    void listLeaving(boolean isListed) {
        isListedLeaving = isListed;
    }

    boolean isLeaving() {
        return isListedLeaving || hasSignalledLeaving;
    }

    boolean holds(RoutingTarget target) {
        return target.model().isEmpty()
                || (report != null && report.models().contains(target.model().get()));
    }

    Candidate candidate(RoutingRequest request, MonotonicTime now) {
        boolean hasAdapter = request.target().adapter().isEmpty()
                || (report != null
                        && report.adapters().contains(request.target().adapter().get()));
        return new Candidate(
                definition.name(),
                definition.failureDomain(),
                inFlight.current(),
                requestsOfOthers(),
                report == null ? null : now.since(reportTrueAt),
                matchingBlocks(request.prefixFingerprints()),
                hasAdapter,
                failures.state(now) == ConnectFailures.State.HALF_OPEN);
    }

    private int matchingBlocks(List<Long> prefixes) {
        return prefixes.isEmpty() ? 0 : hints.matchingBlocks(prefixes);
    }

    /**
     * Requests that other VMs have there. What they had when the report was true is scaled by the change of the own
     * count since: the others route by the same rules, so that their counts move alike.
     */
    private int requestsOfOthers() {
        if (report == null) {
            return 0;
        }
        int ownThen = inFlight.countAt(reportTrueAt);
        int othersThen = Math.max(0, report.running() + report.waiting() - ownThen);
        double change = (inFlight.current() + DAMPING) / (ownThen + DAMPING);
        return (int) Math.round(othersThen * change);
    }

    boolean hasReported() {
        return report != null;
    }
}
