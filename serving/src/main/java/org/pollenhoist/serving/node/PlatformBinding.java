package org.pollenhoist.serving.node;

import java.util.Optional;
import org.pollenhoist.serving.catalog.Catalog;
import org.pollenhoist.serving.http.BufferedHttpClient;
import org.pollenhoist.serving.placement.EngineControl;
import org.pollenhoist.serving.request.RequestFormat;
import org.pollenhoist.serving.store.Store;
import org.pollenhoist.serving.upstream.UpstreamDescription;

/** The names, formats and calls of the platform that a serving process runs on. It decides nothing. */
public interface PlatformBinding {

    /**
     * Returns how callers and upstreams write.
     *
     * @return the format
     */
    RequestFormat requestFormat();

    /**
     * Returns the store.
     *
     * @param calls makes its calls
     * @param settings where it is
     * @return the store
     */
    Store store(BufferedHttpClient calls, ServingSettings settings);

    /**
     * Returns how engines are ordered.
     *
     * @param calls makes the calls
     * @param holder the name under which this VM orders
     * @return the control
     */
    EngineControl engineControl(BufferedHttpClient calls, String holder);

    /**
     * Returns the path at which the balancer asks for readiness.
     *
     * @return the path
     */
    String readinessPath();

    /**
     * Returns the key under which the operators' configuration lies.
     *
     * @return the key
     */
    String catalogKey();

    /**
     * Reads a configuration.
     *
     * @param value the item's content
     * @return the configuration
     * @throws org.pollenhoist.common.PollenhoistException with {@code INVALID_CONFIGURATION} where it can't be read
     */
    Catalog readCatalog(byte[] value);

    /**
     * Returns the prefix of the keys under which upstreams register.
     *
     * @return the prefix
     */
    String upstreamPrefix();

    /**
     * Reads an upstream's entry.
     *
     * @param identifier the upstream's identifier
     * @param value the item's content
     * @return the description, empty where the entry names no upstream to use
     */
    Optional<UpstreamDescription> readUpstream(String identifier, byte[] value);
}
