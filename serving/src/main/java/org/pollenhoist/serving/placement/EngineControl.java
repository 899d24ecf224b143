package org.pollenhoist.serving.placement;

import java.util.Optional;
import java.util.function.Consumer;
import org.pollenhoist.serving.upstream.UpstreamDescription;

/** Sends orders to engines and requests reports from them. Each response arrives exactly once, on the event loop. */
public interface EngineControl {

    /**
     * Sends an order to an engine.
     *
     * @param engine the engine
     * @param order the order
     * @param expectedSequence the engine's expected count of accepted orders; an engine with another count rejects
     *     the order
     * @param fencingToken the fencing token, which increases with each change of the placement leader
     * @param outcome receives the outcome
     */
    void sendOrder(
            UpstreamDescription engine,
            EngineOrder order,
            long expectedSequence,
            long fencingToken,
            Consumer<OrderOutcome> outcome);

    /**
     * Requests a report of the models and adapters that an engine has loaded. It may be some hundred milliseconds old.
     *
     * @param engine the engine
     * @param response receives the report, empty if none arrived
     */
    void requestReport(UpstreamDescription engine, Consumer<Optional<EngineStatus>> response);
}
