package org.pollenhoist.serving.store;

/**
 * An item of the store, or the tombstone of a removed item.
 *
 * @param key its key
 * @param value its value; empty if it was removed
 * @param revision the store's revision at which it was last changed or removed
 * @param isRemoved whether it was removed
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoreItem(String key, byte[] value, StoreRevision revision, boolean isRemoved) {}
