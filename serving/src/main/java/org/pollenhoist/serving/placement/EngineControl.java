package org.pollenhoist.serving.placement;

import java.util.Optional;
import java.util.function.Consumer;
import org.pollenhoist.serving.upstream.UpstreamDescription;

/** Orders to engines and their reports. Answers arrive on the event loop, each exactly once. */
public interface EngineControl {

    /**
     * Orders an engine.
     *
     * @param engine the engine
     * @param order the order
     * @param expectedSequence the engine's count of accepted orders; an engine with another count rejects the order
     * @param fencingToken grows with each change of the ordering VM
     * @param outcome receives what the engine said
     */
    void sendOrder(
            UpstreamDescription engine,
            EngineOrder order,
            long expectedSequence,
            long fencingToken,
            Consumer<OrderOutcome> outcome);

    /**
     * Asks an engine what it holds. The answer may be some hundred milliseconds old.
     *
     * @param engine the engine
     * @param answer receives the report, empty where none came
     */
    void requestReport(UpstreamDescription engine, Consumer<Optional<EngineStatus>> answer);
}
