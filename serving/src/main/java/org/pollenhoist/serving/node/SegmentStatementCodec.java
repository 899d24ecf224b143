package org.pollenhoist.serving.node;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.request.UpstreamLifetime;
import org.pollenhoist.serving.segment.SegmentCrash;
import org.pollenhoist.serving.segment.SegmentKey;
import org.pollenhoist.serving.segment.SegmentStatement;

/** Converts statements about prompt segments to and from messages, in which times are ages. */
final class SegmentStatementCodec {

    private SegmentStatementCodec() {}

    static org.pollenhoist.vm.generated.SegmentStatement toMessage(SegmentStatement statement, MonotonicTime now) {
        org.pollenhoist.vm.generated.SegmentStatement.Builder message =
                org.pollenhoist.vm.generated.SegmentStatement.newBuilder()
                        .setService(statement.key().service())
                        .setSegment(statement.key().segment());
        statement.crashes().forEach(crash -> message.addCrashes(toMessage(crash, now)));
        message.addAllRefutedTags(statement.refutedTags());
        statement.claimedUntil().ifPresent(until -> message.setClaimMilliseconds(milliseconds(until.since(now))));
        return message.build();
    }

    private static org.pollenhoist.vm.generated.SegmentCrash toMessage(SegmentCrash crash, MonotonicTime now) {
        return org.pollenhoist.vm.generated.SegmentCrash.newBuilder()
                .setLifetime(toMessage(crash.lifetime()))
                .setSentAgeMilliseconds(milliseconds(now.since(crash.sentAt())))
                .setEndedAgeMilliseconds(milliseconds(now.since(crash.endedAt())))
                .build();
    }

    private static org.pollenhoist.vm.generated.UpstreamLifetime toMessage(UpstreamLifetime lifetime) {
        return org.pollenhoist.vm.generated.UpstreamLifetime.newBuilder()
                .setUpstream(lifetime.upstream().value())
                .setStartedMilliseconds(lifetime.startedMilliseconds())
                .build();
    }

    private static int milliseconds(Duration duration) {
        return Math.clamp(duration.toMillis(), 0, Integer.MAX_VALUE);
    }

    /**
     * Reads a statement.
     *
     * @throws IllegalArgumentException if it names an upstream that can't exist
     */
    static SegmentStatement fromMessage(
            org.pollenhoist.vm.generated.SegmentStatement message, MonotonicTime receivedAt) {
        List<SegmentCrash> crashes = message.getCrashesList().stream()
                .map(crash -> new SegmentCrash(
                        fromMessage(crash.getLifetime()),
                        ago(receivedAt, crash.getSentAgeMilliseconds()),
                        ago(receivedAt, crash.getEndedAgeMilliseconds())))
                .toList();
        Optional<MonotonicTime> claimedUntil = message.hasClaimMilliseconds()
                ? Optional.of(
                        receivedAt.plus(Duration.ofMillis(Integer.toUnsignedLong(message.getClaimMilliseconds()))))
                : Optional.empty();
        return new SegmentStatement(
                new SegmentKey(message.getService(), message.getSegment()),
                crashes,
                Set.copyOf(message.getRefutedTagsList()),
                claimedUntil);
    }

    private static UpstreamLifetime fromMessage(org.pollenhoist.vm.generated.UpstreamLifetime lifetime) {
        return new UpstreamLifetime(UpstreamName.of(lifetime.getUpstream()), lifetime.getStartedMilliseconds());
    }

    private static MonotonicTime ago(MonotonicTime now, int milliseconds) {
        return now.plus(Duration.ofMillis(Integer.toUnsignedLong(milliseconds)).negated());
    }
}
