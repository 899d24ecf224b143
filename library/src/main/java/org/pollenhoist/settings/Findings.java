package org.pollenhoist.settings;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Collects findings, so that all are reported together. Confined to one thread. */
public final class Findings {

    private static final Comparator<Finding> BY_PLACE =
            Comparator.comparing(Finding::file).thenComparingInt(Finding::line).thenComparing(Finding::key);

    private final List<Finding> collected = new ArrayList<>();

    /**
     * Adds a finding.
     *
     * @param finding the finding
     */
    public void add(Finding finding) {
        collected.add(finding);
    }

    /**
     * Tells whether nothing was found.
     *
     * @return true where there is no finding
     */
    public boolean isEmpty() {
        return collected.isEmpty();
    }

    /**
     * Reports all findings together.
     *
     * @throws InvalidSettingsException where there is at least one finding
     */
    public void throwIfAny() {
        if (!collected.isEmpty()) {
            throw InvalidSettingsException.withFindings(
                    collected.stream().sorted(BY_PLACE).toList());
        }
    }
}
