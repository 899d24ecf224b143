package org.pollenhoist.experiments.routing;

import java.util.List;
import java.util.Optional;
import org.pollenhoist.common.AdapterName;
import org.pollenhoist.common.ModelName;

/**
 * One request of the trace that all policies are measured on.
 *
 * @param arrival nanoseconds since the start
 * @param vm index of the VM that receives it
 * @param model the model
 * @param adapter the adapter, for some
 * @param prefixes fingerprints of the prompt's leading blocks
 * @param outputTokens tokens to generate
 * @param priority 0 to 9
 */
record SimulatedRequest(
        long arrival,
        int vm,
        ModelName model,
        Optional<AdapterName> adapter,
        List<Long> prefixes,
        int outputTokens,
        int priority) {}
