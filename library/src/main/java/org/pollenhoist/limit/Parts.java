package org.pollenhoist.limit;

/** Integer parts of a team's rate and burst. Whole numbers keep the sum over all VMs exact. */
public final class Parts {

    /** How many parts make up the whole limit of a team. */
    public static final long WHOLE = 1_000_000_000L;

    private Parts() {}

    /**
     * Returns what a number of parts amounts to.
     *
     * @param parts the parts
     * @param whole what all parts together amount to
     * @return the amount, in the unit of {@code whole}
     */
    public static double amount(long parts, double whole) {
        return parts * (whole / WHOLE);
    }

    /**
     * Returns how many parts hold an amount.
     *
     * @param amount the amount, in the unit of {@code whole}
     * @param whole what all parts together amount to
     * @return the parts, rounded up, from 0 to {@link #WHOLE}
     */
    public static long holding(double amount, double whole) {
        if (amount <= 0 || whole <= 0) {
            return 0;
        }
        return (long) Math.min(WHOLE, Math.ceil(amount / whole * WHOLE));
    }

    /**
     * Returns how many parts an amount fills.
     *
     * @param amount the amount, in the unit of {@code whole}
     * @param whole what all parts together amount to
     * @return the parts, rounded down, from 0 to {@link #WHOLE}
     */
    public static long within(double amount, double whole) {
        if (amount <= 0 || whole <= 0) {
            return 0;
        }
        return (long) Math.min(WHOLE, Math.floor(amount / whole * WHOLE));
    }
}
