package org.pollenhoist.serving.request;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * What is sent to an upstream in addition to the headers of the caller.
 *
 * @param upstreamIdentifier the intended upstream; any other one rejects the request
 * @param timeBudget the time that is left until the deadline
 * @param team the team whose key the caller presented
 * @param priority the priority at the upstream, 0 for the highest; empty if the upstream is not an engine
 * @param resumeAfter the identifier of the event after which the stream is resumed
 */
public record ForwardingMetadata(
        String upstreamIdentifier,
        Duration timeBudget,
        Optional<String> team,
        OptionalInt priority,
        Optional<Long> resumeAfter) {}
