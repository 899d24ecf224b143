package org.pollenhoist.serving.store;

/**
 * An item of the store, or the trace of its removal.
 *
 * @param key its key
 * @param value its content; empty after a removal
 * @param revision the store's revision at its last change
 * @param isRemoved whether it is gone
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoreItem(String key, byte[] value, long revision, boolean isRemoved) {}
