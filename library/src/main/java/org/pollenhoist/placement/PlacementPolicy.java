package org.pollenhoist.placement;

import java.util.List;
import org.pollenhoist.common.MonotonicTime;

/** Proposes moves. Whatever it proposes, {@link MoveGuard} admits only what keeps memory and reachability. */
public interface PlacementPolicy {

    /**
     * Decides on the moves of one round.
     *
     * @param state what is known
     * @param memory what earlier rounds handed on
     * @param now the present time
     * @return the moves in the order in which they are to be made, and what to hand on
     */
    Proposal decide(DomainState state, PolicyMemory memory, MonotonicTime now);

    /**
     * The moves of one round.
     *
     * @param moves the moves in the order in which they are to be made
     * @param memory what to hand on to the next round
     */
    record Proposal(List<Move> moves, PolicyMemory memory) {

        /** Copies the moves. */
        public Proposal {
            moves = List.copyOf(moves);
        }
    }
}
