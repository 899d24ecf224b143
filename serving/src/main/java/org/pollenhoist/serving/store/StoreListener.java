package org.pollenhoist.serving.store;

/** Receives the changes of the items. */
public interface StoreListener {

    /**
     * An item was written.
     *
     * @param item the item
     */
    void onWritten(StoreItem item);

    /**
     * An item was removed.
     *
     * @param key its key
     */
    void onRemoved(String key);

    /** All items have been read, as a list or as a peer's snapshot; earlier changes may have been missed. */
    void onListed();

    /**
     * Returns whether the owner of an item writes it again if its lease expired during an outage of the store.
     *
     * @param key the item's key
     * @return true if a removal of the item shortly after an outage must be delayed
     */
    boolean mayBeRewritten(String key);
}
