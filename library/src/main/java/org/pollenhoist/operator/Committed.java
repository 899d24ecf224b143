package org.pollenhoist.operator;

import java.util.List;
import org.pollenhoist.configuration.Difference;

/**
 * A change that was accepted.
 *
 * @param revision the revision that it made
 * @param changeIdentifier its unique identifier
 * @param differences what it changed
 */
public record Committed(long revision, String changeIdentifier, List<Difference> differences) {

    /** Copies the differences. */
    public Committed {
        differences = List.copyOf(differences);
    }
}
