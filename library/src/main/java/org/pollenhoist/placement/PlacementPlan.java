package org.pollenhoist.placement;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.upstream.EngineItem;

/**
 * What a failure domain's acting process publishes: which engine holds or will hold which model, and what it would move
 * next. Operators read it, and so do the acting processes of other domains.
 *
 * @param domain the failure domain
 * @param configurationRevision the configuration that it was planned under
 * @param copies the copies, in order of model and engine
 * @param proposals the moves of the last round, also those that are not made now
 * @param demand concurrent sequences that the domain's callers ask of each model
 */
public record PlacementPlan(
        String domain,
        long configurationRevision,
        List<Copy> copies,
        List<Proposal> proposals,
        Map<String, Double> demand) {

    /** Where plans are stored; followed by the domain's name. */
    public static final String KEY_PREFIX = "placement/plan/";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Copies the collections. */
    public PlacementPlan {
        copies = List.copyOf(copies);
        proposals = List.copyOf(proposals);
        demand = new TreeMap<>(demand);
    }

    /**
     * A copy of a model.
     *
     * @param model the model
     * @param version its version
     * @param upstream the engine
     * @param state {@code ready}, {@code loading}, {@code unloading} or {@code reserved}
     */
    public record Copy(String model, String version, String upstream, String state) {}

    /**
     * A move.
     *
     * @param action {@code load} or {@code unload}
     * @param item the model, or model and adapter
     * @param version its version
     * @param upstream the engine
     * @param reason why
     * @param refusal why it is not made now, empty where it is
     */
    public record Proposal(
            String action, String item, String version, String upstream, String reason, String refusal) {}

    /**
     * Returns the plan after a round.
     *
     * @param state what the round knew
     * @param admission what it admitted
     * @param configurationRevision the configuration's revision
     * @param ownDemand the demand of the domain's own callers
     * @return the plan
     */
    public static PlacementPlan of(
            DomainState state,
            MoveGuard.Admission admission,
            long configurationRevision,
            Map<ModelName, Double> ownDemand) {
        List<Copy> copies = new ArrayList<>();
        for (UpstreamState upstream : admission.upstreams().values()) {
            for (EngineItem item : upstream.ledger().committed().keySet()) {
                if (item.kind() == EngineItem.Kind.MODEL) {
                    copies.add(new Copy(
                            item.name(), item.version(), upstream.name().value(), copyState(upstream, item)));
                }
            }
        }
        List<Proposal> proposals =
                admission.verdicts().stream().map(PlacementPlan::proposal).toList();
        Map<String, Double> demand = new TreeMap<>();
        ownDemand.forEach((model, sequences) -> demand.put(model.value(), sequences));
        return new PlacementPlan(state.domain().value(), configurationRevision, copies, proposals, demand);
    }

    private static String copyState(UpstreamState upstream, EngineItem item) {
        if (upstream.steadyItems().contains(item)) {
            return "ready";
        }
        if (upstream.ledger().isUnloadPending(item)) {
            return "unloading";
        }
        boolean isLoading = upstream.ledger().openLoads().stream()
                .anyMatch(order -> order.order().item().equals(item));
        return isLoading ? "loading" : "reserved";
    }

    private static Proposal proposal(MoveGuard.Verdict verdict) {
        Move move = verdict.move();
        return new Proposal(
                move instanceof Move.Load ? "load" : "unload",
                move.item().name(),
                move.item().version(),
                move.upstream().value(),
                move.reason().text(),
                verdict.refusal().map(MoveGuard.Refusal::text).orElse(""));
    }

    /**
     * Returns the key of a domain's plan.
     *
     * @param domain the domain
     * @return the key
     */
    public static String key(FailureDomain domain) {
        return KEY_PREFIX + domain.value();
    }

    /**
     * Returns the models of which a copy answers in this domain.
     *
     * @return their names
     */
    public Set<ModelName> readyModels() {
        return readyCopies().keySet();
    }

    /**
     * Returns how many copies of each model answer in this domain.
     *
     * @return the number of copies of each model that has any
     */
    public Map<ModelName, Integer> readyCopies() {
        Map<ModelName, Integer> ready = new TreeMap<>();
        copies.stream()
                .filter(copy -> copy.state().equals("ready"))
                .forEach(copy -> ready.merge(ModelName.of(copy.model()), 1, Integer::sum));
        return ready;
    }

    /**
     * Encodes the plan.
     *
     * @return JSON in UTF-8
     */
    public byte[] encode() {
        try {
            return MAPPER.writeValueAsBytes(this);
        } catch (JsonProcessingException exception) {
            throw PlacementErrors.unreadableRecord(KEY_PREFIX + domain, exception);
        }
    }

    /**
     * Decodes a plan.
     *
     * @param key the key that it was read from, for messages
     * @param content JSON in UTF-8
     * @return the plan
     * @throws org.pollenhoist.common.PollenhoistException with {@code INTERNAL} where the content has another form
     */
    public static PlacementPlan decode(String key, byte[] content) {
        try {
            return MAPPER.readValue(content, PlacementPlan.class);
        } catch (IOException exception) {
            throw PlacementErrors.unreadableRecord(key, exception);
        }
    }
}
