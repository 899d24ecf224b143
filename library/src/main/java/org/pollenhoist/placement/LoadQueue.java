package org.pollenhoist.placement;

import java.util.Comparator;
import java.util.List;

/** The order in which moves are made when the weight store can't take all loads at once. */
final class LoadQueue {

    private static final Comparator<Move.Load> LONGEST_WAITING_FIRST =
            Comparator.comparing(Move.Load::waitingSince).thenComparing(Move.Load::reason);

    private LoadQueue() {}

    static List<Move.Load> ordered(List<Move.Load> loads) {
        return loads.stream().sorted(LONGEST_WAITING_FIRST).toList();
    }
}
