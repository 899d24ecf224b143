package org.pollenhoist.limit;

import java.util.Locale;

/** Why a request was refused. */
public enum Refusal {
    /** The request's bound is larger than the team's burst: it can never be admitted. */
    LARGER_THAN_BURST,
    /** The team has used up its rate and burst as far as this VM and the peers it reached know. */
    LIMIT_REACHED,
    /** This VM holds no valid share now, and no peer that it reached could help. */
    NO_SHARE,
    /** The team is not configured. */
    UNKNOWN_TEAM;

    /**
     * Returns the reason as it stands in logs and metrics.
     *
     * @return lower case with underscores
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
