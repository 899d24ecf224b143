package org.pollenhoist.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.upstream.EngineItem;
import org.pollenhoist.upstream.EngineOrder;

/**
 * Admits the moves that keep memory, reachability and the weight store's limits, whatever policy proposed them, and
 * enters them into the ledgers.
 */
public final class MoveGuard {

    private final TreeMap<UpstreamName, UpstreamState> upstreams;
    private final DomainState domain;
    private final List<Verdict> verdicts = new ArrayList<>();
    private LoadBudget budget;

    private MoveGuard(DomainState domain, LoadBudget budget) {
        this.domain = domain;
        this.upstreams = new TreeMap<>(domain.upstreams());
        this.budget = budget;
    }

    /** Why a move is not made now. */
    public enum Refusal {
        /** The engine's report is missing or too old, or it is leaving. */
        UPSTREAM_NOT_SERVING,
        /** Memory does not hold it beside all that may be resident. */
        MEMORY_COMMITTED,
        /** The weight store takes no further load now. */
        STORE_LIMIT,
        /** An earlier order for the item is not settled. */
        ORDER_PENDING,
        /** No other copy answers. */
        LAST_COPY;

        /**
         * Returns the refusal as it stands in logs.
         *
         * @return the refusal in lower case
         */
        public String text() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * What became of a proposed move.
     *
     * @param move the move
     * @param refusal why it is not made now, empty where it is
     * @param orderIdentifier the identifier of its order, empty where there is none
     */
    public record Verdict(Move move, Optional<Refusal> refusal, String orderIdentifier) {}

    /**
     * The ledgers and the budget after all admitted moves.
     *
     * @param upstreams the engines with their new ledgers
     * @param budget what is left to load
     * @param verdicts what became of each move
     */
    public record Admission(TreeMap<UpstreamName, UpstreamState> upstreams, LoadBudget budget, List<Verdict> verdicts) {

        /** Copies the collections. */
        public Admission {
            upstreams = new TreeMap<>(upstreams);
            verdicts = List.copyOf(verdicts);
        }
    }

    /** Supplies the identifier and fencing number of a new order. */
    public interface OrderNumbers {

        /**
         * Returns an identifier that no other order has.
         *
         * @return the identifier
         */
        String nextIdentifier();

        /**
         * Returns the version that an engine's ledger will have when it is next written.
         *
         * @param upstream the engine
         * @return the version, which is the fencing number of the orders that it adds
         */
        long nextVersion(UpstreamName upstream);
    }

    /**
     * Admits moves in their order.
     *
     * @param domain the state of the domain
     * @param moves the proposed moves
     * @param budget what may be loaded
     * @param numbers the numbers of new orders
     * @return the ledgers to write and what became of each move
     */
    public static Admission admit(DomainState domain, List<Move> moves, LoadBudget budget, OrderNumbers numbers) {
        MoveGuard guard = new MoveGuard(domain, budget);
        for (Move move : moves) {
            guard.consider(move, numbers);
        }
        return new Admission(guard.upstreams, guard.budget, guard.verdicts);
    }

    private void consider(Move move, OrderNumbers numbers) {
        Optional<Refusal> refusal = switch (move) {
            case Move.Load load -> refusal(load);
            case Move.Unload unload -> refusal(unload);
        };
        if (refusal.isPresent()) {
            verdicts.add(new Verdict(move, refusal, ""));
            return;
        }
        EngineOrder order = order(move, numbers);
        UpstreamState state = upstreams.get(move.upstream());
        upstreams.put(move.upstream(), state.withLedger(state.ledger().withOrder(order)));
        verdicts.add(new Verdict(move, Optional.empty(), order.identifier()));
        if (move instanceof Move.Load) {
            boolean isModel = move.item().kind() == EngineItem.Kind.MODEL;
            budget = isModel ? budget.withModelLoad() : budget.withAdapterLoad();
        }
    }

    private Optional<Refusal> refusal(Move.Load load) {
        UpstreamState state = upstreams.get(load.upstream());
        if (state == null || !state.isServing()) {
            return Optional.of(Refusal.UPSTREAM_NOT_SERVING);
        }
        boolean isModel = load.item().kind() == EngineItem.Kind.MODEL;
        if (isModel ? !budget.isModelLoadAllowed() : !budget.isAdapterLoadAllowed()) {
            return Optional.of(Refusal.STORE_LIMIT);
        }
        boolean isSafe = state.ledger()
                .isLoadSafe(load.item(), load.bytes(), state.upstream().refusesOldFencing());
        return isSafe ? Optional.empty() : Optional.of(Refusal.MEMORY_COMMITTED);
    }

    private Optional<Refusal> refusal(Move.Unload unload) {
        UpstreamState state = upstreams.get(unload.upstream());
        if (state == null || state.report().isEmpty()) {
            return Optional.of(Refusal.UPSTREAM_NOT_SERVING);
        }
        if (!state.ledger().isUnloadSafe(unload.item())) {
            return Optional.of(Refusal.ORDER_PENDING);
        }
        if (!isSteadyElsewhere(domain, upstreams, unload)) {
            return Optional.of(Refusal.LAST_COPY);
        }
        return Optional.empty();
    }

    /** Tells whether the model still answers after an unload, as far as is known. */
    static boolean isSteadyElsewhere(
            DomainState domain, Map<UpstreamName, UpstreamState> upstreams, Move.Unload unload) {
        ModelName model = ModelName.of(unload.item().modelName());
        if (!domain.models().containsKey(model) || domain.heldElsewhere().contains(model)) {
            return true;
        }
        EngineItem item = unload.item();
        boolean isSteadyBeside = upstreams.get(unload.upstream()).steadyItems().stream()
                .anyMatch(other -> other.kind() == item.kind()
                        && other.name().equals(item.name())
                        && !other.version().equals(item.version()));
        return isSteadyBeside
                || upstreams.values().stream()
                        .filter(other -> !other.name().equals(unload.upstream()))
                        .anyMatch(other -> other.isSteady(item.kind(), item.name()));
    }

    private static EngineOrder order(Move move, OrderNumbers numbers) {
        String identifier = numbers.nextIdentifier();
        long fencing = numbers.nextVersion(move.upstream());
        return switch (move) {
            case Move.Load load ->
                new EngineOrder(identifier, fencing, EngineOrder.Action.LOAD, load.item(), load.bytes());
            case Move.Unload unload ->
                new EngineOrder(identifier, fencing, EngineOrder.Action.UNLOAD, unload.item(), 0);
        };
    }
}
