package org.pollenhoist.serving.node;

import java.util.Optional;
import java.util.Set;
import org.pollenhoist.serving.catalog.Catalog;
import org.pollenhoist.serving.http.BufferedHttpClient;
import org.pollenhoist.serving.placement.EngineControl;
import org.pollenhoist.serving.request.RequestFormat;
import org.pollenhoist.serving.store.Store;
import org.pollenhoist.serving.store.StoreEras;
import org.pollenhoist.serving.upstream.UpstreamDescription;

/** The names, formats and calls of the platform that a serving process runs on. Implementations make no decisions. */
public interface PlatformBinding {

    /**
     * Returns the format of the requests of callers and the responses of upstreams.
     *
     * @return the format
     */
    RequestFormat requestFormat();

    /**
     * Returns the fields of the platform that a caller's request has at most once.
     *
     * @return their names in lower case
     */
    Set<String> singleRequestFields();

    /**
     * Returns the fields of the platform that a response has at most once, whoever sends it.
     *
     * @return their names in lower case
     */
    Set<String> singleResponseFields();

    /**
     * Creates the client of the store.
     *
     * @param client makes its calls
     * @param settings contain the address of the store
     * @param eras learns the era that each response names
     * @return the store
     */
    Store store(BufferedHttpClient client, ServingSettings settings, StoreEras eras);

    /**
     * Creates the client that sends orders to engines.
     *
     * @param client makes the calls
     * @param holder the name under which this VM sends orders
     * @return the control
     */
    EngineControl engineControl(BufferedHttpClient client, String holder);

    /**
     * Returns the path at which the load balancer checks readiness.
     *
     * @return the path
     */
    String readinessPath();

    /**
     * Returns the store key of the operators' configuration.
     *
     * @return the key
     */
    String catalogKey();

    /**
     * Reads a configuration.
     *
     * @param value the content of the store item
     * @return the configuration
     * @throws org.pollenhoist.common.PollenhoistException with {@code INVALID_CONFIGURATION} if it can't be read
     */
    Catalog readCatalog(byte[] value);

    /**
     * Returns the prefix of the store keys by which operators evacuate failure domains: the rest of a key names one,
     * and it is evacuated as long as the item exists.
     *
     * @return the prefix
     */
    String evacuationPrefix();

    /**
     * Returns the prefix of the store keys under which upstreams register.
     *
     * @return the prefix
     */
    String upstreamPrefix();

    /**
     * Reads an upstream's entry.
     *
     * @param identifier the upstream's identifier
     * @param value the content of the store item
     * @return the description, empty if the entry does not describe a usable upstream
     */
    Optional<UpstreamDescription> readUpstream(String identifier, byte[] value);
}
