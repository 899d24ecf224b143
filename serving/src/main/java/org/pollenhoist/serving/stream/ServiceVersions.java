package org.pollenhoist.serving.stream;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.store.StoreRevision;
import org.pollenhoist.serving.upstream.UpstreamTable;

/**
 * The software versions of each service at which streams may have begun, as listed in the store. A stream begins only
 * at a version that has been listed for so long that every VM in contact with the store knows of it. So a VM that knows
 * of one listed version knows where any stream began, even if all VMs were killed since. Confined to the event loop.
 *
 * <p>A listing tells all versions only if it was written in the current era of the store. One of an earlier era may
 * come from a copy that lacks versions; a VM that has known the current era for long enough confirms it. Until then no
 * version counts as the only one, and this VM adds those that it knew before.
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
     * Time in an era after which a VM confirms the listings if it knew all versions of the era before: upstreams that
     * are missing in the copy write their entries again within two seconds of the store's return.
     */
    private static final Duration SETTLING_TIME = Duration.ofMillis(2_500);

    /** The same for a VM that may lack versions, so that those that know them usually confirm the listings before. */
    private static final Duration SETTLING_TIME_AFTER_START = SETTLING_TIME.multipliedBy(2);

    /**
     * A listing in the store.
     *
     * @param versions the versions, in the order in which they were added
     * @param revision the store's revision of the listing, {@link StoreRevision#NONE} if there is none
     * @param era the era of the store in which it was written, empty if it does not tell
     */
    public record Listing(List<String> versions, StoreRevision revision, OptionalLong era) {

        /** Makes an immutable copy of the versions. */
        public Listing {
            versions = List.copyOf(versions);
        }
    }

    private static final Listing NONE = new Listing(List.of(), StoreRevision.NONE, OptionalLong.empty());

    private record ServiceVersion(String service, String version) {}

    private final UpstreamTable upstreams;
    private final LongSupplier currentEra;
    private final Map<String, Listing> listings = new HashMap<>();
    private final Map<String, Set<String>> unconfirmed = new HashMap<>();
    private final Map<ServiceVersion, MonotonicTime> listedSince = new HashMap<>();
    private final Map<ServiceVersion, MonotonicTime> lastAliveAt = new HashMap<>();
    private final Map<String, Set<String>> alive = new TreeMap<>();
    private long knownLifetimeChanges;
    private Optional<MonotonicTime> storeKnownSince = Optional.empty();
    private Duration settlingTime;
    private boolean isSettled;

    /**
     * Creates an instance that knows of no listing.
     *
     * @param upstreams all registered upstreams
     * @param currentEra returns the newest era of the store that this process has heard of
     * @param isFirstStart whether the whole fleet starts for the first time, so that no stream can have begun before
     */
    public ServiceVersions(UpstreamTable upstreams, LongSupplier currentEra, boolean isFirstStart) {
        this.upstreams = upstreams;
        this.currentEra = currentEra;
        this.settlingTime = isFirstStart ? Duration.ZERO : SETTLING_TIME_AFTER_START;
    }

    /**
     * Applies a listing of the store. It takes a version away only if it was written in the current era.
     *
     * @param service the service
     * @param listing its versions
     * @param now the current time
     */
    public void onListed(String service, Listing listing, MonotonicTime now) {
        Set<String> before = known(service);
        listings.put(service, listing);
        if (isConfirmed(service)) {
            unconfirmed(service).removeAll(listing.versions());
        } else {
            unconfirmed(service).addAll(before);
        }
        Set<String> known = known(service);
        listedSince
                .keySet()
                .removeIf(version -> version.service().equals(service) && !known.contains(version.version()));
        listing.versions().forEach(version -> listedSince.putIfAbsent(new ServiceVersion(service, version), now));
    }

    /**
     * Applies the removal of a listing, which takes no version away.
     *
     * @param service the service
     */
    public void onRemoved(String service) {
        unconfirmed(service).addAll(known(service));
        listings.remove(service);
    }

    /**
     * Records that the store has come back from an older copy, whose listings may lack versions.
     *
     * @param isRecent whether this VM knew the listings so recently that it knows every version in use
     * @param now the current time
     */
    public void onNewEra(boolean isRecent, MonotonicTime now) {
        listings.forEach((service, listing) -> unconfirmed(service).addAll(listing.versions()));
        // VMs may have missed a version that was listed only just before; all know one that was already in use.
        listedSince.keySet().removeIf(version -> !isAdopted(version, now));
        settlingTime = isRecent && isSettled ? SETTLING_TIME : SETTLING_TIME_AFTER_START;
        isSettled = false;
        storeKnownSince = Optional.empty();
    }

    /**
     * Records which versions have upstreams now.
     *
     * @param isStoreKnown whether this VM currently knows the contents of the store
     * @param now the current time
     */
    public void update(boolean isStoreKnown, MonotonicTime now) {
        storeKnownSince = isStoreKnown ? Optional.of(storeKnownSince.orElse(now)) : Optional.empty();
        isSettled |= storeKnownSince
                .filter(since -> now.since(since).compareTo(settlingTime) >= 0)
                .isPresent();
        alive().forEach((service, versions) ->
                versions.forEach(version -> lastAliveAt.put(new ServiceVersion(service, version), now)));
        lastAliveAt.values().removeIf(at -> now.since(at).compareTo(RETENTION) > 0);
        unconfirmed.forEach(
                (service, versions) -> versions.removeIf(version -> isGone(new ServiceVersion(service, version), now)));
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

    /** Returns the versions that this VM knew before the listing, and that a VM has to list again. */
    private Set<String> unconfirmed(String service) {
        return unconfirmed.computeIfAbsent(service, ignored -> new LinkedHashSet<>());
    }

    /** Returns the versions at which this VM knows that streams may have begun, the listed ones first. */
    private Set<String> known(String service) {
        Set<String> known = new LinkedHashSet<>(listing(service).versions());
        known.addAll(unconfirmed.getOrDefault(service, Set.of()));
        return known;
    }

    /** Returns whether the listing was written by a VM that knew all versions of the current era. */
    private boolean isConfirmed(String service) {
        return listing(service).era().equals(OptionalLong.of(currentEra.getAsLong()));
    }

    /**
     * Returns the versions at which a stream may begin now.
     *
     * @param service the service
     * @param now the current time
     * @return the versions, empty if there is no restriction
     */
    public Set<String> admissible(String service, MonotonicTime now) {
        Set<String> known = known(service);
        Set<String> living = alive(service);
        if (known.containsAll(living) && known.size() == 1) {
            return Set.of();
        }
        List<String> candidates = known.stream().filter(living::contains).toList();
        if (candidates.isEmpty()) {
            // Without upstreams of a known version, no stream can be joined from two.
            return Set.of();
        }
        Set<String> admissible = candidates.stream()
                .filter(version -> isAdopted(new ServiceVersion(service, version), now))
                .collect(Collectors.toSet());
        return admissible.isEmpty() ? Set.of(candidates.get(0)) : admissible;
    }

    private boolean isAdopted(ServiceVersion version, MonotonicTime now) {
        MonotonicTime since = listedSince.get(version);
        return since != null && now.since(since).compareTo(ADOPTION_DELAY) >= 0;
    }

    /**
     * Returns the only version at which streams can have begun.
     *
     * @param service the service
     * @return the version, empty if there may have been several
     */
    public Optional<String> only(String service) {
        Set<String> known = known(service);
        return known.size() == 1 && isConfirmed(service)
                ? Optional.of(known.iterator().next())
                : Optional.empty();
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
     * Returns whether several versions of a service are known or have upstreams.
     *
     * @param service the service
     * @return false if streams can only have begun at one version
     */
    public boolean isMixed(String service) {
        Set<String> known = known(service);
        return known.size() > 1 || !known.containsAll(alive(service));
    }

    /**
     * Returns the services of which several versions are known or have upstreams.
     *
     * @return their names
     */
    public Set<String> mixedServices() {
        Set<String> services = new TreeSet<>(alive().keySet());
        services.addAll(listings.keySet());
        services.removeIf(service -> !isMixed(service));
        return services;
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
            boolean isConfirmed = isConfirmed(service);
            if (!isConfirmed && !isSettled) {
                return;
            }
            Listing stored = listing(service);
            Set<String> versions = known(service);
            versions.removeIf(version -> isGone(new ServiceVersion(service, version), now));
            versions.addAll(living);
            List<String> ordered = List.copyOf(versions);
            if (!ordered.equals(stored.versions()) || !isConfirmed) {
                OptionalLong era = OptionalLong.of(currentEra.getAsLong());
                changes.put(service, new Listing(ordered, stored.revision(), era));
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
