package org.pollenhoist.placement;

import java.util.Locale;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.upstream.EngineItem;

/** A change of what an engine holds. */
public sealed interface Move {

    /** Why a move is made. */
    enum Reason {
        /** No copy of the model that must be held here answers. */
        NO_COPY,
        /** A copy of the version that is to serve is missing. */
        NEW_VERSION,
        /** The loss of one upstream would leave the model without a copy. */
        SPARE_COPY,
        /** The model's demand exceeds what its copies can serve. */
        DEMAND,
        /** The only copy stands where another model's demand needs the room. */
        RELOCATION,
        /** A copy of the base model lacks the adapter. */
        ADAPTER,
        /** The new version answers. */
        VERSION_REPLACED,
        /** Another model's demand is worth more than this copy. */
        EVICTED,
        /** The operators no longer list the model. */
        REMOVED_FROM_CONFIGURATION,
        /** An unsettled order from before the engine's restart reserves memory that nothing uses. */
        RELEASE_RESERVATION;

        /**
         * Returns the reason as it stands in logs.
         *
         * @return the reason in lower case
         */
        public String text() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * Loads an item.
     *
     * @param upstream the engine
     * @param item the item
     * @param bytes its memory, in bytes
     * @param reason why
     * @param waitingSince since when the item has been wanted
     */
    record Load(UpstreamName upstream, EngineItem item, long bytes, Reason reason, MonotonicTime waitingSince)
            implements Move {}

    /**
     * Unloads an item.
     *
     * @param upstream the engine
     * @param item the item
     * @param reason why
     */
    record Unload(UpstreamName upstream, EngineItem item, Reason reason) implements Move {}

    /**
     * Returns the engine.
     *
     * @return its name
     */
    UpstreamName upstream();

    /**
     * Returns the item.
     *
     * @return the item
     */
    EngineItem item();

    /**
     * Returns why the move is made.
     *
     * @return the reason
     */
    Reason reason();
}
