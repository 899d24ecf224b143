package org.pollenhoist.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.configuration.Configuration;
import org.pollenhoist.configuration.Upstream;
import org.pollenhoist.platform.PlatformService;
import org.pollenhoist.upstream.EngineControl;
import org.pollenhoist.upstream.EngineItem;
import org.pollenhoist.upstream.EngineReport;
import org.pollenhoist.upstream.OrderAnswer;

/**
 * Runs the placement of one failure domain: takes the ledgers over, reads the engines' reports, decides, writes the
 * ledgers and only then sends the orders. Used by one thread.
 */
public final class PlacementCoordinator {

    private static final DecisionLog LOG = DecisionLog.of("placement");

    private final FailureDomain domain;
    private final EngineControl engineControl;
    private final PlacementPolicy policy;
    private final CoordinatorSettings settings;
    private final LeaderLease lease;
    private final LedgerTable ledgers;
    private final PlanExchange plans;
    private final Map<UpstreamName, TimedReport> reports = new HashMap<>();
    private final Map<String, MonotonicTime> sentAt = new HashMap<>();
    private PolicyMemory memory = PolicyMemory.none();
    private Optional<LoadBudget> budget = Optional.empty();
    private Set<RefusedMove> refusedBefore = Set.of();
    private boolean wasActing;

    /**
     * Creates the coordinator of a process.
     *
     * @param domain the failure domain
     * @param process unique to this start of the process
     * @param platform the platform's service
     * @param engineControl the engines
     * @param policy proposes moves
     * @param settings times and intervals
     */
    public PlacementCoordinator(
            FailureDomain domain,
            String process,
            PlatformService platform,
            EngineControl engineControl,
            PlacementPolicy policy,
            CoordinatorSettings settings) {
        this.domain = domain;
        this.engineControl = engineControl;
        this.policy = policy;
        this.settings = settings;
        this.lease = new LeaderLease(platform, domain, process, settings.leaseDuration());
        this.ledgers = new LedgerTable(platform, process, settings.lateCopyWindow());
        this.plans = new PlanExchange(platform, domain, settings.planInterval());
    }

    private record RefusedMove(UpstreamName upstream, EngineItem item, MoveGuard.Refusal refusal) {}

    private record TimedReport(EngineReport report, MonotonicTime receivedAt) {}

    /**
     * What a round did.
     *
     * @param isActing whether this process acts for the domain
     * @param admission what became of the proposed moves, empty where the process does not act
     */
    public record RoundResult(boolean isActing, Optional<MoveGuard.Admission> admission) {}

    /**
     * Runs one round.
     *
     * @param input the configuration and the demand
     * @param now the present time
     * @return what was done
     */
    public RoundResult round(RoundInput input, MonotonicTime now) {
        if (!lease.update(now)) {
            stopActing();
            return new RoundResult(false, Optional.empty());
        }
        List<Upstream> engines = engines(input.configuration());
        takeOver(engines, now);
        List<Upstream> taken = engines.stream()
                .filter(engine -> ledgers.isTaken(engine.name()))
                .toList();
        takeReports(taken, now);
        plans.exchange(now);
        DomainState state = state(input, taken, now);
        PlacementPolicy.Proposal proposal = policy.decide(state, memory, now);
        memory = proposal.memory();
        LoadBudget available = budget(input, taken, now);
        MoveGuard.Admission admission = MoveGuard.admit(state, proposal.moves(), available, new Numbers());
        budget = Optional.of(admission.budget());
        writeAndSend(state, admission, now);
        logVerdicts(admission);
        plans.publish(
                PlacementPlan.of(state, admission, input.configurationRevision(), input.demand()),
                lease.identifier(),
                now);
        return new RoundResult(true, Optional.of(admission));
    }

    /** Gives up the lease, for a planned stop. */
    public void stop() {
        stopActing();
        lease.release();
    }

    private void stopActing() {
        if (wasActing) {
            LOG.event("acting_ended", "domain", domain, "reason", "lease_not_held");
        }
        wasActing = false;
        ledgers.forgetAll();
        plans.forget();
        reports.clear();
        sentAt.clear();
        memory = PolicyMemory.none();
        budget = Optional.empty();
    }

    private List<Upstream> engines(Configuration configuration) {
        return configuration.upstreams().values().stream()
                .filter(upstream -> upstream.kind() == Upstream.Kind.ENGINE)
                .filter(upstream -> upstream.failureDomain().equals(domain))
                .toList();
    }

    private void takeOver(List<Upstream> engines, MonotonicTime now) {
        if (!wasActing) {
            wasActing = true;
            LOG.event("acting_began", "domain", domain, "engines", engines.size(), "reason", "lease_held");
        }
        for (Upstream engine : engines) {
            if (!ledgers.isTaken(engine.name()) && lease.isHeld(now)) {
                reports.remove(engine.name());
                ledgers.takeOver(engine);
            }
        }
    }

    private void takeReports(List<Upstream> engines, MonotonicTime now) {
        Map<UpstreamName, EngineReport> received = engineControl.reports(engines);
        for (Upstream engine : engines) {
            EngineReport report = received.get(engine.name());
            if (report != null && ledgers.apply(engine, report, now)) {
                reports.put(engine.name(), new TimedReport(report, now));
            }
        }
    }

    private DomainState state(RoundInput input, List<Upstream> engines, MonotonicTime now) {
        TreeMap<UpstreamName, UpstreamState> upstreams = new TreeMap<>();
        for (Upstream engine : engines) {
            Optional<EngineReport> report = Optional.ofNullable(reports.get(engine.name()))
                    .filter(timed -> now.since(timed.receivedAt()).compareTo(settings.staleAfter()) < 0)
                    .map(TimedReport::report);
            upstreams.put(engine.name(), UpstreamState.of(engine, ledgers.ledger(engine.name()), report));
        }
        HomeDomains homes = HomeDomains.of(input.configuration());
        Map<ModelName, Double> demand = plans.own()
                .map(plan -> DomainDemand.of(input.demand(), plan, plans.others()))
                .orElse(input.demand());
        return new DomainState(
                domain,
                upstreams,
                input.configuration().models(),
                homes.requiredCopies(domain),
                homes.preferredCopies(domain),
                HeldElsewhere.of(homes, plans.others(), input.configurationRevision()),
                demand);
    }

    private LoadBudget budget(RoundInput input, List<Upstream> engines, MonotonicTime now) {
        TreeSet<FailureDomain> domains = new TreeSet<>();
        input.configuration().upstreams().values().stream()
                .filter(upstream -> upstream.kind() == Upstream.Kind.ENGINE)
                .forEach(upstream -> domains.add(upstream.failureDomain()));
        StoreShare share = StoreShare.of(input.configuration().weightStore(), domains, domain);
        int modelLoads = 0;
        int adapterLoads = 0;
        if (engines.size() < engines(input.configuration()).size()) {
            // A ledger that can't be read may hold as many loads as the store allows.
            modelLoads = share.modelLoadsInFlight();
            adapterLoads = share.adapterLoadsInFlight();
        }
        for (Upstream engine : engines) {
            for (LedgerOrder order : ledgers.ledger(engine.name()).openLoads()) {
                boolean isModel = order.order().item().kind() == EngineItem.Kind.MODEL;
                modelLoads += isModel ? 1 : 0;
                adapterLoads += isModel ? 0 : 1;
            }
        }
        return budget.orElseGet(() -> LoadBudget.empty(share, now)).at(share, modelLoads, adapterLoads, now);
    }

    private final class Numbers implements MoveGuard.OrderNumbers {

        @Override
        public String nextIdentifier() {
            return ledgers.nextChange();
        }

        @Override
        public long nextVersion(UpstreamName upstream) {
            return ledgers.version(upstream) + 1;
        }
    }

    private void writeAndSend(DomainState state, MoveGuard.Admission admission, MonotonicTime now) {
        List<UpstreamState> written = new ArrayList<>();
        for (UpstreamState upstream : admission.upstreams().values()) {
            if (ledgers.writeIfChanged(upstream.name(), upstream.ledger())) {
                written.add(upstream);
            }
            if (ledgers.isEmpty()) {
                lease.doubt();
                return;
            }
        }
        written.forEach(upstream -> sendOrders(state, admission, upstream, now));
        sentAt.values().removeIf(sent -> now.since(sent).compareTo(settings.forgetSendsAfter()) > 0);
    }

    private void sendOrders(
            DomainState state, MoveGuard.Admission admission, UpstreamState upstream, MonotonicTime now) {
        if (upstream.report().isEmpty() || !ledgers.isTaken(upstream.name())) {
            return;
        }
        EngineReport report = upstream.report().get();
        for (LedgerOrder order : ledgers.ledger(upstream.name()).orders()) {
            boolean isForThisIncarnation = order.incarnation().equals(report.incarnation());
            boolean isListed = report.orderState(order.order().identifier()).isPresent();
            if (order.isOpen() && isForThisIncarnation && !isListed && isTimeToSend(order, now)) {
                sendIfStillSafe(state, admission, upstream, order, now);
            }
        }
    }

    /** An unload that was decided on some time ago waits where the model's other copies have been lost since. */
    private void sendIfStillSafe(
            DomainState state,
            MoveGuard.Admission admission,
            UpstreamState upstream,
            LedgerOrder order,
            MonotonicTime now) {
        EngineItem item = order.order().item();
        Move.Unload unload = new Move.Unload(upstream.name(), item, Move.Reason.EVICTED);
        if (order.order().isLoad() || MoveGuard.isSteadyElsewhere(state, admission.upstreams(), unload)) {
            send(upstream, order, now);
        } else {
            LOG.event(
                    "order_withheld",
                    "order",
                    order.order().identifier(),
                    "upstream",
                    upstream.name(),
                    "item",
                    item.name(),
                    "reason",
                    MoveGuard.Refusal.LAST_COPY.text());
        }
    }

    private boolean isTimeToSend(LedgerOrder order, MonotonicTime now) {
        MonotonicTime sent = sentAt.get(order.order().identifier());
        return sent == null || now.since(sent).compareTo(settings.resendAfter()) >= 0;
    }

    private void send(UpstreamState upstream, LedgerOrder order, MonotonicTime now) {
        boolean isFirst = sentAt.put(order.order().identifier(), now) == null;
        OrderAnswer answer =
                engineControl.send(upstream.upstream(), order.incarnation(), order.order(), lease.heldUntil());
        LOG.event(
                "order_sent",
                "order",
                order.order().identifier(),
                "upstream",
                upstream.name(),
                "fencing",
                order.order().fencing(),
                "answer",
                answer.text(),
                "reason",
                isFirst ? "ledger_written" : "not_in_report");
    }

    /** A refusal is logged when it begins, not in each round that repeats it. */
    private void logVerdicts(MoveGuard.Admission admission) {
        Set<RefusedMove> refused = new HashSet<>();
        for (MoveGuard.Verdict verdict : admission.verdicts()) {
            Move move = verdict.move();
            if (verdict.refusal().isPresent()) {
                RefusedMove present = new RefusedMove(
                        move.upstream(), move.item(), verdict.refusal().get());
                refused.add(present);
                if (refusedBefore.contains(present)) {
                    continue;
                }
            }
            LOG.event(
                    move instanceof Move.Load ? "load" : "unload",
                    "domain",
                    domain,
                    "upstream",
                    move.upstream(),
                    "item",
                    move.item().name(),
                    "version",
                    move.item().version(),
                    "reason",
                    move.reason().text(),
                    "order",
                    verdict.orderIdentifier(),
                    "refusal",
                    verdict.refusal().map(MoveGuard.Refusal::text).orElse("none"));
        }
        refusedBefore = refused;
    }
}
