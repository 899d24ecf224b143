package org.pollenhoist.serving.stream;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.store.StoreRevision;

/**
 * Tells where a stream may begin or go on, so that no stream has events from upstreams of two software versions.
 * Confined to the event loop.
 */
public final class StreamRegistry {

    /** Where a stream that a caller resumes may go on. */
    public sealed interface Resumption {

        /**
         * The stream goes on at one software version.
         *
         * @param softwareVersion the version
         * @param source how the version is known, for the log
         * @param age how old the knowledge of the listed versions is, zero if the stream itself is known
         */
        record Bound(String softwareVersion, String source, Duration age) implements Resumption {}

        /** Peers or the store are being asked. */
        record Pending() implements Resumption {}

        /**
         * The stream must not go on.
         *
         * @param reason the reason for the log and the caller
         */
        record Refused(String reason) implements Resumption {}
    }

    /** Exchanges what VMs know of streams. */
    public interface Announcer {

        /** Called when the peers are to be asked for a stream. */
        void onQuestion();

        /** Called when a stream has begun that peers should know of. */
        void onBeginning();

        /**
         * Called when the listed versions are to be read from the store, to call {@link #endReading} with the result.
         */
        void onReading();
    }

    private final ServiceVersions versions;
    private final ListingConfirmation confirmation;
    private final Announcer announcer;
    private final StreamDirectory directory = new StreamDirectory();
    private final StreamLookups lookups = new StreamLookups();

    /**
     * Creates a registry that knows of no streams.
     *
     * @param versions the versions at which streams may have begun
     * @param storeKnownAsOf the time at which the store held nothing later than what this VM knows of it
     * @param announcer asks and tells peers, and reads the store
     */
    public StreamRegistry(
            ServiceVersions versions, Supplier<Optional<MonotonicTime>> storeKnownAsOf, Announcer announcer) {
        this.versions = versions;
        this.confirmation = new ListingConfirmation(storeKnownAsOf);
        this.announcer = announcer;
    }

    /**
     * Returns the software versions at which a stream may begin.
     *
     * @param service the service
     * @param now the current time
     * @return the versions, empty if there is no restriction
     */
    public Set<String> admissibleVersions(String service, MonotonicTime now) {
        return versions.admissible(service, now);
    }

    /**
     * Decides where a stream may go on that a caller resumes.
     *
     * @param key the stream, empty if the caller does not say which one it resumes
     * @param service the service that the request is sent to
     * @param now the current time
     * @return the decision
     */
    public Resumption resume(Optional<StreamKey> key, String service, MonotonicTime now) {
        Optional<StreamOrigin> origin = key.flatMap(present -> directory.find(present, now));
        if (origin.isPresent()) {
            return origin.get().service().equals(service)
                    ? new Resumption.Bound(origin.get().softwareVersion(), "known", Duration.ZERO)
                    : new Resumption.Refused("stream_of_other_service");
        }
        Optional<String> only = versions.only(service);
        Optional<Duration> age = confirmation.age(now);
        if (only.isPresent() && age.isPresent()) {
            return new Resumption.Bound(only.get(), "only_version", age.get());
        }
        boolean isReading = only.isPresent() && isReading(now);
        boolean isAsking = key.isPresent() && isAsking(key.get(), now);
        return isReading || isAsking ? new Resumption.Pending() : new Resumption.Refused("stream_version_unknown");
    }

    /** Returns whether the listed versions are being read, after starting it if it is time. */
    private boolean isReading(MonotonicTime now) {
        if (confirmation.startReading(now)) {
            announcer.onReading();
        }
        return confirmation.isReading(now);
    }

    /** Returns whether peers are being asked for a stream, after starting it unless they had no answer. */
    private boolean isAsking(StreamKey key, MonotonicTime now) {
        if (lookups.hasFailed(key, now)) {
            return false;
        }
        if (lookups.start(key, now)) {
            announcer.onQuestion();
        }
        return true;
    }

    /**
     * Records what the store holds of the listed versions.
     *
     * @param sentAt when it was asked
     * @param revisions the revisions of its listings by service, empty if it did not respond
     * @return whether they are the listings that this VM knows
     */
    public boolean endReading(MonotonicTime sentAt, Optional<Map<String, StoreRevision>> revisions) {
        boolean isConfirmed = revisions.filter(versions::matches).isPresent();
        confirmation.endReading(sentAt, isConfirmed);
        return isConfirmed;
    }

    /**
     * Records that the store has come back from an older copy. Has to be called before what is known of the copy counts
     * as knowledge of the listed versions.
     *
     * @param now the current time
     * @return whether this VM knew the listings so recently that it knows every version in use
     */
    public boolean onNewEra(MonotonicTime now) {
        boolean isRecent = confirmation.age(now).isPresent();
        confirmation.onNewEra();
        versions.onNewEra(isRecent, now);
        return isRecent;
    }

    /**
     * Records the first event of a stream at this VM.
     *
     * @param key the stream
     * @param origin what wrote the event
     * @param now the current time
     */
    public void begin(StreamKey key, StreamOrigin origin, MonotonicTime now) {
        directory.begin(key, origin, now);
        if (versions.isMixed(origin.service())) {
            announcer.onBeginning();
        }
    }

    /**
     * Records that a stream was passed on to its end.
     *
     * @param key the stream
     * @param now the current time
     */
    public void end(StreamKey key, MonotonicTime now) {
        directory.end(key, now);
    }

    /**
     * Returns the streams that peers should learn of, and marks them as announced.
     *
     * @return the origins of streams of services that have several versions
     */
    public Map<StreamKey, StreamOrigin> takeUnannounced() {
        return directory.takeUnannounced(versions.mixedServices()::contains);
    }

    /**
     * Returns the streams that began at this VM and would be lost with all VMs.
     *
     * @param minimumAge the time since their beginning
     * @param now the current time
     * @return the origins of streams of services that have several versions, the oldest first
     */
    public Map<StreamKey, StreamOrigin> running(Duration minimumAge, MonotonicTime now) {
        Set<String> mixed = versions.mixedServices();
        return mixed.isEmpty() ? Map.of() : directory.running(mixed::contains, minimumAge, now);
    }

    /**
     * Returns the streams that peers are to be asked for.
     *
     * @param now the current time
     * @return their keys
     */
    public Set<StreamKey> questions(MonotonicTime now) {
        return lookups.pending(now);
    }

    /**
     * Answers a peer's questions.
     *
     * @param keys the streams that it asks for
     * @param now the current time
     * @return the origins of those that this VM knows
     */
    public Map<StreamKey, StreamOrigin> answers(Set<StreamKey> keys, MonotonicTime now) {
        Map<StreamKey, StreamOrigin> known = new HashMap<>();
        keys.forEach(key -> directory.find(key, now).ifPresent(origin -> known.put(key, origin)));
        return known;
    }

    /**
     * Records what a peer or the store knows.
     *
     * @param origins the origins of streams
     * @param now the current time
     * @return whether this VM had asked for one of them
     */
    public boolean learn(Map<StreamKey, StreamOrigin> origins, MonotonicTime now) {
        boolean isAnswer = false;
        for (Map.Entry<StreamKey, StreamOrigin> known : origins.entrySet()) {
            directory.learn(known.getKey(), known.getValue(), now);
            isAnswer |= lookups.end(known.getKey());
        }
        return isAnswer;
    }

    /**
     * Discards streams that no caller resumes any more.
     *
     * @param now the current time
     */
    public void expire(MonotonicTime now) {
        directory.expire(now);
    }

    /**
     * Returns the number of streams that this VM knows.
     *
     * @return the number
     */
    public int knownStreams() {
        return directory.size();
    }
}
