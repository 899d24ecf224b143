package org.pollenhoist.upstream;

/**
 * What an engine answered to an order. No answer proves what became of the order: another copy of it may have been
 * accepted before. Only reports do.
 */
public sealed interface OrderAnswer {

    /** The engine has taken the order. */
    record Accepted() implements OrderAnswer {}

    /**
     * The engine has seen a higher fencing number.
     *
     * @param highestFencing the number that it has seen
     */
    record RefusedOldFencing(long highestFencing) implements OrderAnswer {}

    /** The engine has no memory for the item. */
    record RefusedNoMemory() implements OrderAnswer {}

    /**
     * The engine is another incarnation than the one that the order is for; nothing was sent.
     *
     * @param actualIncarnation the incarnation that was met
     */
    record OtherIncarnation(String actualIncarnation) implements OrderAnswer {}

    /** The time until which the order was to be sent has passed; nothing was sent. */
    record TooLate() implements OrderAnswer {}

    /**
     * No usable answer came; the order may have arrived or may arrive later.
     *
     * @param reason what was seen
     */
    record Unanswered(String reason) implements OrderAnswer {}

    /**
     * Returns the answer as it stands in logs.
     *
     * @return a word such as {@code accepted}
     */
    default String text() {
        return switch (this) {
            case Accepted accepted -> "accepted";
            case RefusedOldFencing refused -> "refused_old_fencing";
            case RefusedNoMemory refused -> "refused_no_memory";
            case OtherIncarnation other -> "other_incarnation";
            case TooLate late -> "too_late";
            case Unanswered unanswered -> "unanswered";
        };
    }
}
