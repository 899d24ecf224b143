package org.pollenhoist.upstream;

/**
 * An order to an engine. An engine runs an order's identifier at most once in each incarnation.
 *
 * @param identifier unique over all orders of all processes
 * @param fencing larger for each later order to the same engine
 * @param action what to do
 * @param item the item to load or unload
 * @param bytes accelerator memory that the item takes, in bytes
 */
public record EngineOrder(String identifier, long fencing, Action action, EngineItem item, long bytes) {

    /** What an order asks for. */
    public enum Action {
        /** Load the item from the weight store. */
        LOAD,
        /** Remove the item from accelerator memory. */
        UNLOAD
    }

    /**
     * Tells whether the order loads its item.
     *
     * @return false where it unloads it
     */
    public boolean isLoad() {
        return action == Action.LOAD;
    }
}
