package org.pollenhoist.serving.request;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * What is told an upstream beside what the caller sent.
 *
 * @param upstreamIdentifier the upstream that is meant; any other one rejects the request
 * @param timeBudget how long the caller still waits
 * @param team the team whose key came with the request
 * @param priority rank at the upstream, 0 first
 * @param resumeAfter the event after which a stream goes on
 */
public record ForwardingMetadata(
        String upstreamIdentifier,
        Duration timeBudget,
        Optional<String> team,
        OptionalInt priority,
        Optional<Long> resumeAfter) {}
