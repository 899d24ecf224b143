package org.pollenhoist.experiments.limit;

/** A fault that is built into the simulated VMs on purpose, to show that the checker finds it. */
public enum Mutant {
    /** No fault. */
    NONE,
    /** Tokens of a loan are added twice. */
    TOKENS_ADDED_TWICE,
    /** A new process begins with a full level. */
    REFILL_AT_RESTART,
    /** A process goes on with its share after its lease has ended. */
    LEASE_NOT_CHECKED,
    /** A lender goes on using the parts that it lent. */
    LENDER_NOT_DEBITED,
    /** Parts of an ended process are used while its loans still run. */
    NO_QUARANTINE
}
