package org.pollenhoist.serving.stream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.store.StoreRevision;
import org.pollenhoist.serving.upstream.UpstreamTable;

/**
 * The software versions of each service at which streams may have begun, as listed in the store. A stream begins only
 * at a version that has been listed for so long that every VM in contact with the store knows of it. So a VM that knows
 * of one listed version knows where any stream began, even if all VMs were killed since. Confined to the event loop.
 */
public final class ServiceVersions {

    /**
     * Time from the listing of a further version until streams begin at it. A VM whose knowledge of the listings is
     * younger knows every version at which a stream can have begun.
     */
    static final Duration ADOPTION_DELAY = Duration.ofSeconds(3);

    /** How long a version stays listed after its last upstream has gone; no caller resumes a stream for so long. */
    private static final Duration RETENTION = Duration.ofSeconds(60);

    /**
     * A listing in the store.
     *
     * @param versions the versions, in the order in which they were added
     * @param revision the store's revision of the listing, {@link StoreRevision#NONE} if there is none
     */
    public record Listing(List<String> versions, StoreRevision revision) {

        /** Makes an immutable copy of the versions. */
        public Listing {
            versions = List.copyOf(versions);
        }
    }

    private static final Listing NONE = new Listing(List.of(), StoreRevision.NONE);

    private record ServiceVersion(String service, String version) {}

    private final UpstreamTable upstreams;
    private final Map<String, Listing> listings = new HashMap<>();
    private final Map<ServiceVersion, MonotonicTime> listedSince = new HashMap<>();
    private final Map<ServiceVersion, MonotonicTime> lastAliveAt = new HashMap<>();
    private final Map<String, Set<String>> alive = new TreeMap<>();
    private long knownLifetimeChanges;
    private Optional<MonotonicTime> storeKnownSince = Optional.empty();

    /**
     * Creates an instance that knows of no listing.
     *
     * @param upstreams all registered upstreams
     */
    public ServiceVersions(UpstreamTable upstreams) {
        this.upstreams = upstreams;
    }

    /**
     * Applies a listing of the store.
     *
     * @param service the service
     * @param listing its versions
     * @param now the current time
     */
    public void onListed(String service, Listing listing, MonotonicTime now) {
        listings.put(service, listing);
        listedSince
                .keySet()
                .removeIf(known ->
                        known.service().equals(service) && !listing.versions().contains(known.version()));
        listing.versions().forEach(version -> listedSince.putIfAbsent(new ServiceVersion(service, version), now));
    }

    /**
     * Applies the removal of a listing.
     *
     * @param service the service
     */
    public void onRemoved(String service) {
        listings.remove(service);
        listedSince.keySet().removeIf(known -> known.service().equals(service));
    }

    /**
     * Records which versions have upstreams now.
     *
     * @param isStoreKnown whether this VM currently knows the contents of the store
     * @param now the current time
     */
    public void update(boolean isStoreKnown, MonotonicTime now) {
        storeKnownSince = isStoreKnown ? Optional.of(storeKnownSince.orElse(now)) : Optional.empty();
        alive().forEach((service, versions) ->
                versions.forEach(version -> lastAliveAt.put(new ServiceVersion(service, version), now)));
        lastAliveAt.values().removeIf(at -> now.since(at).compareTo(RETENTION) > 0);
    }

    /** Returns the versions that have upstreams, by service. */
    private Map<String, Set<String>> alive() {
        if (upstreams.lifetimeChanges() != knownLifetimeChanges) {
            knownLifetimeChanges = upstreams.lifetimeChanges();
            alive.clear();
            upstreams
                    .all()
                    .forEach(upstream -> alive.computeIfAbsent(
                                    upstream.description().service(), service -> new TreeSet<>())
                            .add(upstream.description().softwareVersion()));
        }
        return alive;
    }

    private Set<String> alive(String service) {
        return alive().getOrDefault(service, Set.of());
    }

    private Listing listing(String service) {
        return listings.getOrDefault(service, NONE);
    }

    /**
     * Returns the versions at which a stream may begin now.
     *
     * @param service the service
     * @param now the current time
     * @return the versions, empty if there is no restriction
     */
    public Set<String> admissible(String service, MonotonicTime now) {
        List<String> listed = listing(service).versions();
        Set<String> living = alive(service);
        if (listed.containsAll(living) && listed.size() == 1) {
            return Set.of();
        }
        List<String> candidates = listed.stream().filter(living::contains).toList();
        if (candidates.isEmpty()) {
            // Without upstreams of a listed version, no stream can be joined from two.
            return Set.of();
        }
        Set<String> admissible = candidates.stream()
                .filter(version -> isAdopted(new ServiceVersion(service, version), now))
                .collect(Collectors.toSet());
        return admissible.isEmpty() ? Set.of(candidates.get(0)) : admissible;
    }

    private boolean isAdopted(ServiceVersion version, MonotonicTime now) {
        return now.since(listedSince.get(version)).compareTo(ADOPTION_DELAY) >= 0;
    }

    /**
     * Returns the only version at which streams can have begun.
     *
     * @param service the service
     * @return the version, empty if there may have been several
     */
    public Optional<String> only(String service) {
        List<String> listed = listing(service).versions();
        return listed.size() == 1 ? Optional.of(listed.get(0)) : Optional.empty();
    }

    /**
     * Returns whether the listings are those that the store holds.
     *
     * @param revisions the revisions of the store's listings, by service
     * @return false if one was added, changed or removed
     */
    public boolean matches(Map<String, StoreRevision> revisions) {
        return revisions.equals(listings.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, listing -> listing.getValue().revision())));
    }

    /**
     * Returns whether several versions of a service are listed or have upstreams.
     *
     * @param service the service
     * @return false if streams can only have begun at one version
     */
    public boolean isMixed(String service) {
        List<String> listed = listing(service).versions();
        return listed.size() > 1 || !listed.containsAll(alive(service));
    }

    /**
     * Returns the listings that the store should hold instead of those that it holds.
     *
     * @param now the current time
     * @return by service, the versions and the revision of the listing that they replace
     */
    public Map<String, Listing> changes(MonotonicTime now) {
        Map<String, Listing> changes = new LinkedHashMap<>();
        alive().forEach((service, living) -> {
            Listing known = listing(service);
            List<String> versions = new ArrayList<>(known.versions());
            versions.removeIf(version -> isGone(new ServiceVersion(service, version), now));
            living.stream().filter(version -> !versions.contains(version)).forEach(versions::add);
            if (!versions.equals(known.versions())) {
                changes.put(service, new Listing(versions, known.revision()));
            }
        });
        return changes;
    }

    private boolean isGone(ServiceVersion version, MonotonicTime now) {
        boolean isKnownForLong = storeKnownSince
                .filter(since -> now.since(since).compareTo(RETENTION) > 0)
                .isPresent();
        return isKnownForLong && !lastAliveAt.containsKey(version);
    }
}
