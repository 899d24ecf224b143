package org.pollenhoist.serving.routing;

import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.catalog.Engine;
import org.pollenhoist.serving.upstream.LoadSnapshot;
import org.pollenhoist.serving.upstream.MemoryTurnover;
import org.pollenhoist.serving.upstream.Upstream;

/**
 * What an engine is expected to save of a request's prefill because it still keeps the beginning of the prompt. The
 * selector weighs it, at the measured prefill time of a token, against the wait behind the prompts ahead there. So a
 * request leaves the engine that keeps its beginning once the wait there exceeds the saving, and the engine that it
 * goes to keeps the beginning as well: popular beginnings spread over as many engines as their requests need.
 *
 * @param promptTokens the length of the prompt in tokens; 0 if the request states no segments
 * @param keptTokens tokens of it that need no prefill, weighted by the likelihood that the engine still keeps them
 */
public record PrefillSaving(long promptTokens, long keptTokens) {

    /** Of a request without prompt segments. */
    public static final PrefillSaving NONE = new PrefillSaving(0, 0);

    /**
     * Estimates the saving of a request at an engine.
     *
     * @param candidate the engine
     * @param load its load from all VMs
     * @param request the request
     * @param engine the capacities of the engine
     * @param now the current time
     * @return the saving
     */
    static PrefillSaving at(
            Upstream candidate, LoadSnapshot load, SelectionRequest request, Engine engine, MonotonicTime now) {
        if (request.promptSegments().isEmpty()) {
            return NONE;
        }
        MemoryTurnover turnover = MemoryTurnover.of(engine.memoryTokens(), load, candidate.ownLoad(now));
        long kept = candidate
                .keptPrompts()
                .expectedTokens(request.model(), request.adapter(), request.promptSegments(), turnover, now);
        return new PrefillSaving(request.promptTokens(), Math.min(kept, request.promptTokens()));
    }
}
