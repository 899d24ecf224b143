package org.pollenhoist.serving.segment;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.pollenhoist.common.MonotonicTime;

/**
 * What one VM knows about a segment. Statements are state rather than changes: receiving one late, twice or in another
 * order leads to the same result.
 *
 * @param key the segment
 * @param crashes the crashes that the segment may have caused
 * @param refutedTags the tags of lifetimes whose end the segment did not cause
 * @param claimedUntil the end of the stating VM's claim to run the next trial, empty if it has none
 */
public record SegmentStatement(
        SegmentKey key, List<SegmentCrash> crashes, Set<Long> refutedTags, Optional<MonotonicTime> claimedUntil) {

    /** Copies the collections. */
    public SegmentStatement {
        crashes = List.copyOf(crashes);
        refutedTags = Set.copyOf(refutedTags);
    }
}
