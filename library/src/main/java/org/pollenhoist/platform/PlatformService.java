package org.pollenhoist.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The platform's small key-value service. The only place that knows its wire format implements this interface.
 *
 * <p>Every method blocks for at most the time-out given at construction and throws a {@code PollenhoistException} with
 * {@code PLATFORM_UNAVAILABLE} where no answer came. Each call counts against the platform's rates, a waiting watch as
 * one.
 */
public interface PlatformService {

    /**
     * Reads a value.
     *
     * @param key the key
     * @return the value, or empty where there is none
     */
    Optional<StoredValue> read(String key);

    /**
     * Reads all values whose keys begin with a prefix.
     *
     * @param prefix the prefix
     * @return the values in key order, with the store's revision at which they were read
     */
    Listing list(String prefix);

    /**
     * Writes a value where its version is still the expected one.
     *
     * @param key the key
     * @param expectedVersion the version that is to be replaced, 0 where the key must not exist
     * @param content the new content, at most a megabyte
     * @param leaseIdentifier a lease whose end removes the value, or empty
     * @return what became of the write; an answer that is lost gives {@link WriteOutcome.Unknown}, never an exception
     */
    WriteOutcome compareAndSwap(String key, long expectedVersion, byte[] content, Optional<String> leaseIdentifier);

    /**
     * Removes a value where its version is still the expected one.
     *
     * @param key the key
     * @param expectedVersion the version that is to be removed
     * @return what became of the removal
     */
    WriteOutcome remove(String key, long expectedVersion);

    /**
     * Waits for a change below a prefix.
     *
     * @param prefix the prefix
     * @param afterRevision the store's revision up to which changes are known
     * @param wait how long to wait at most
     * @return the present values where something changed, or empty where nothing did
     */
    Optional<Listing> watch(String prefix, long afterRevision, Duration wait);

    /**
     * Grants a lease.
     *
     * @param duration how long it lasts without renewal
     * @return its identifier
     */
    String grantLease(Duration duration);

    /**
     * Renews a lease. The holder counts its duration from before this call began.
     *
     * @param leaseIdentifier the lease
     * @return false where the lease has ended
     */
    boolean renewLease(String leaseIdentifier);

    /**
     * Ends a lease.
     *
     * @param leaseIdentifier the lease
     */
    void revokeLease(String leaseIdentifier);

    /**
     * Reads the list of VMs, which lags.
     *
     * @return the VMs that the platform believes to be live or leaving
     */
    List<ListedVm> listVms();
}
