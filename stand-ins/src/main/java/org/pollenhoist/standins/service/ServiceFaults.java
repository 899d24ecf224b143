package org.pollenhoist.standins.service;

/**
 * The faults in force, as sent to {@code PUT /faults}; absent members mean no fault.
 *
 * @param delayMilliseconds how long each execution takes
 * @param dieBefore whether the process dies before the next execution
 * @param dieAfter whether the process dies after the next execution, without an answer
 * @param halfAnswer whether answers break off in the middle
 * @param notRun whether requests are turned away with the statement that they were not run
 */
public record ServiceFaults(
        long delayMilliseconds, boolean dieBefore, boolean dieAfter, boolean halfAnswer, boolean notRun) {

    /**
     * Returns the state without faults.
     *
     * @return no faults
     */
    public static ServiceFaults none() {
        return new ServiceFaults(0, false, false, false, false);
    }
}
