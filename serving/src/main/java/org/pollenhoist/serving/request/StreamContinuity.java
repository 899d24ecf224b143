package org.pollenhoist.serving.request;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.catalog.RequestKind;
import org.pollenhoist.serving.catalog.Route;
import org.pollenhoist.serving.stream.StreamKey;
import org.pollenhoist.serving.stream.StreamOrigin;
import org.pollenhoist.serving.stream.StreamRegistry;

/**
 * Keeps a stream that may be resumed at the software version that wrote its first event, within one response and over a
 * caller's requests. Confined to the event loop.
 */
final class StreamContinuity {

    /** The decision on the next attempt. */
    sealed interface Verdict {

        /**
         * The request may be sent.
         *
         * @param softwareVersions the versions that it may be sent to, empty if any
         */
        record Proceed(Set<String> softwareVersions) implements Verdict {}

        /** The request has to wait until peers have been asked. */
        record Wait() implements Verdict {}

        /**
         * The stream can't go on.
         *
         * @param reason the reason for the log and the caller
         */
        record Refuse(String reason) implements Verdict {}
    }

    /** Retry-After for a stream whose version is not known; a VM that knows it may be reachable again by then. */
    static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final RequestEnvironment environment;
    private final CallerRequest request;
    private final String service;
    private final boolean isResumable;
    private final boolean isResumption;
    private final Optional<StreamKey> key;
    private Optional<String> softwareVersion = Optional.empty();
    private boolean hasEvents;
    private OptionalLong lastSentEvent = OptionalLong.empty();

    StreamContinuity(RequestEnvironment environment, CallerRequest request, Route route, String service, String team) {
        this.environment = environment;
        this.request = request;
        this.service = service;
        this.isResumable = route.kind() == RequestKind.STREAM && route.isResumable();
        this.isResumption = isResumable && request.lastEventIdentifier().isPresent();
        Optional<String> first = isResumption ? request.resumedRequest() : Optional.of(request.identifier());
        this.key = first.map(identifier -> StreamKey.of(team, identifier));
    }

    Verdict check(MonotonicTime now) {
        if (!isResumable) {
            return new Verdict.Proceed(Set.of());
        }
        if (hasEvents && lastSentEvent.isEmpty()) {
            // An upstream that isn't told where to go on would begin anew.
            return new Verdict.Refuse("events_without_identifier");
        }
        if (softwareVersion.isPresent()) {
            return new Verdict.Proceed(Set.of(softwareVersion.get()));
        }
        if (!isResumption) {
            return new Verdict.Proceed(environment.streams().admissibleVersions(service, now));
        }
        return switch (environment.streams().resume(key, service, now)) {
            case StreamRegistry.Resumption.Bound bound -> {
                softwareVersion = Optional.of(bound.softwareVersion());
                recordDecision(bound.source(), bound.softwareVersion(), bound.age());
                yield new Verdict.Proceed(Set.of(bound.softwareVersion()));
            }
            case StreamRegistry.Resumption.Pending pending -> new Verdict.Wait();
            case StreamRegistry.Resumption.Refused refused -> {
                recordDecision(refused.reason(), "unknown", Duration.ZERO);
                yield new Verdict.Refuse(refused.reason());
            }
        };
    }

    private void recordDecision(String source, String version, Duration age) {
        environment.metrics().countResumption(source);
        RequestLog.resumptionDecided(request, source, version, age);
    }

    /** Records that events were passed on to the caller. */
    void recordEvents(String version, OptionalLong lastIdentifier, MonotonicTime now) {
        lastSentEvent = lastIdentifier;
        if (isResumable && !hasEvents) {
            hasEvents = true;
            softwareVersion = Optional.of(version);
            key.ifPresent(stream -> environment.streams().begin(stream, new StreamOrigin(service, version), now));
        }
    }

    /** Records that the stream was passed on to its end. */
    void recordEnd(MonotonicTime now) {
        if (isResumable) {
            key.ifPresent(stream -> environment.streams().end(stream, now));
        }
    }

    /** Records that the stream goes on at another upstream within the response, if it has begun. */
    void recordAttempt() {
        if (lastSentEvent.isPresent()) {
            environment.metrics().countResumption("within_response");
        }
    }

    /** Returns the event after which the next attempt has to go on, if any was passed on to the caller. */
    Optional<Long> resumeAfter() {
        return lastSentEvent.isPresent() ? Optional.of(lastSentEvent.getAsLong()) : Optional.empty();
    }
}
