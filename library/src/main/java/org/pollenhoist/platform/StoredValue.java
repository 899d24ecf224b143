package org.pollenhoist.platform;

/**
 * A value of the platform's key-value service.
 *
 * @param key its key
 * @param version its version, 1 for a key's first value, one more with each write
 * @param content its bytes
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredValue(String key, long version, byte[] content) {}
