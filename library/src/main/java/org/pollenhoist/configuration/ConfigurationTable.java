package org.pollenhoist.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/**
 * The configuration in force in this process. It never steps back to a lower revision.
 *
 * <p>Reading takes no lock. Lock order: the monitor of {@code listeners} is taken after no other and is held while
 * listeners run, so that each sees revisions in ascending order; listeners must not block.
 */
public final class ConfigurationTable {

    private final AtomicReference<InstalledConfiguration> inForce = new AtomicReference<>();
    private final List<Consumer<InstalledConfiguration>> listeners = new ArrayList<>();
    private long announcedRevision;

    /**
     * Returns what is in force.
     *
     * @return the configuration, or empty where this process has none yet
     */
    public Optional<InstalledConfiguration> current() {
        return Optional.ofNullable(inForce.get());
    }

    /**
     * Returns the revision in force.
     *
     * @return the revision, 0 where this process has none yet
     */
    public long revision() {
        InstalledConfiguration current = inForce.get();
        return current == null ? 0 : current.revision();
    }

    /**
     * Has a listener called with each revision that comes into force; revisions that are overtaken may be left out.
     *
     * @param listener called in ascending order of revisions, at once where a configuration is in force already
     */
    public void addListener(Consumer<InstalledConfiguration> listener) {
        synchronized (listeners) {
            listeners.add(listener);
            current().ifPresent(listener);
        }
    }

    /**
     * Puts a revision in force where it is higher than the one that is.
     *
     * @param candidate the revision
     * @return what became of it
     */
    public Installation install(InstalledConfiguration candidate) {
        while (true) {
            InstalledConfiguration current = inForce.get();
            Installation decision = decide(current, candidate);
            if (!(decision instanceof Installation.Installed)) {
                return decision;
            }
            if (inForce.compareAndSet(current, candidate)) {
                tellListeners();
                return decision;
            }
        }
    }

    private static Installation decide(InstalledConfiguration current, InstalledConfiguration candidate) {
        if (current == null || candidate.revision() > current.revision()) {
            return new Installation.Installed();
        }
        if (candidate.revision() < current.revision()) {
            return new Installation.Older(current.revision());
        }
        return candidate.contentDigest().equals(current.contentDigest())
                ? new Installation.AlreadyInForce()
                : new Installation.Contradiction(current.contentDigest());
    }

    private void tellListeners() {
        synchronized (listeners) {
            InstalledConfiguration current = inForce.get();
            if (current.revision() > announcedRevision) {
                announcedRevision = current.revision();
                listeners.forEach(listener -> listener.accept(current));
            }
        }
    }
}
