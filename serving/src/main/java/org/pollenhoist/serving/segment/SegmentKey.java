package org.pollenhoist.serving.segment;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import org.pollenhoist.request.RequestFingerprint;
import org.pollenhoist.serving.request.PromptSegment;

/**
 * A prompt segment that requests of one service may share.
 *
 * @param service the service's name
 * @param segment the segment's identifier, or its digest if it is longer than {@value #MAXIMUM_IDENTIFIER_LENGTH}
 */
public record SegmentKey(String service, String segment) implements Comparable<SegmentKey> {

    private static final int MAXIMUM_IDENTIFIER_LENGTH = 64;

    /** Maximum number of segments of one request that are tracked. */
    private static final int MAXIMUM_SEGMENTS_PER_REQUEST = 16;

    private static final Comparator<SegmentKey> ORDER =
            Comparator.comparing(SegmentKey::service).thenComparing(SegmentKey::segment);

    /**
     * Returns the segments of a prompt that other requests may share: all but the last one, which belongs to the
     * request or its session alone.
     *
     * @param service the service's name
     * @param prompt the segments of the prompt in order
     * @return their keys without duplicates; of a prompt with very many segments the first ones
     */
    public static List<SegmentKey> sharedBy(String service, List<PromptSegment> prompt) {
        return prompt.stream()
                .limit(Math.max(0, prompt.size() - 1))
                .map(segment -> new SegmentKey(service, shorten(segment.identifier())))
                .distinct()
                .limit(MAXIMUM_SEGMENTS_PER_REQUEST)
                .toList();
    }

    private static String shorten(String identifier) {
        return identifier.length() <= MAXIMUM_IDENTIFIER_LENGTH
                ? identifier
                : RequestFingerprint.of("", "", identifier.getBytes(StandardCharsets.UTF_8))
                        .toString();
    }

    @Override
    public int compareTo(SegmentKey other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return service + "/" + segment;
    }
}
