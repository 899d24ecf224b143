package org.pollenhoist.standins.engine;

/**
 * The faults in force, as sent to {@code PUT /faults}; absent members mean no fault.
 *
 * @param crashText a prompt that contains this text takes the process down; empty for none
 * @param stallAfterTokens after how many tokens answers go silent; absent for never
 * @param halfAnswer whether answers break off in the middle
 * @param notRun whether requests are turned away with the statement that they were not run
 * @param leaving whether the engine says that it is about to stop
 */
public record EngineFaults(
        String crashText, Integer stallAfterTokens, boolean halfAnswer, boolean notRun, boolean leaving) {

    /** Fills in what is absent. */
    public EngineFaults {
        crashText = crashText == null ? "" : crashText;
        stallAfterTokens = stallAfterTokens == null ? Integer.MAX_VALUE : stallAfterTokens;
    }

    /**
     * Returns the state without faults.
     *
     * @param crashText the text of a prompt that takes the process down, empty for none
     * @return no other faults
     */
    public static EngineFaults none(String crashText) {
        return new EngineFaults(crashText, Integer.MAX_VALUE, false, false, false);
    }

    boolean crashesOn(String prompt) {
        return !crashText.isEmpty() && prompt.contains(crashText);
    }
}
