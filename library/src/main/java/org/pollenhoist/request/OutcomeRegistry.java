package org.pollenhoist.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.VmName;
import org.pollenhoist.routing.Rendezvous;

/**
 * The registrar's side of requests with idempotency keys. Before a request with a key runs, the process that runs it
 * registers with two VMs of the key's home failure domain: the first two by rendezvous hashing.
 *
 * <p>A registrar vouches for a key if it is certain to know of every earlier run within {@link #PROMISED}. This
 * requires that it is one of the first two among all members seen in that time, so that it received each registration
 * since its start, and that it has the earlier registrations: either it has been running for that long, or it took them
 * over from the other registrar of the key. Thread-safe: uses one lock, which is a leaf lock.
 */
public final class OutcomeRegistry {

    /** Time after the first use of a key during which no VM runs it again. */
    public static final Duration PROMISED = Duration.ofMinutes(10);

    /** Number of registrars of each key. */
    public static final int REGISTRARS = 2;

    private static final Duration RETENTION = Duration.ofHours(1);
    private static final Duration CLEAN_UP_INTERVAL = Duration.ofMinutes(1);

    /**
     * Period of which a registrar needs all registrations; includes the time in which VMs may disagree on the members.
     */
    private static final Duration REQUIRED_HISTORY = PROMISED.plus(Duration.ofSeconds(30));

    private final VmName self;
    private final Object lock = new Object();
    /** A take-over may add further records of a key. The key may be used again once all of them are removed. */
    private final Map<RequestFingerprint, List<OutcomeRecord>> recordsByKey = new LinkedHashMap<>();

    private final Map<VmName, MonotonicTime> lastSeen = new HashMap<>();
    private final Map<VmName, Standing> takenOver = new HashMap<>();
    private final MonotonicTime startedAt;
    private MonotonicTime lastCleanUp;
    private boolean isFirstOfDomain;
    private boolean isFirstOfName;
    private boolean hasVouched;

    /**
     * Creates the registry of a process that has just started and has no earlier records.
     *
     * @param self the name of this VM
     * @param now the current time
     */
    public OutcomeRegistry(VmName self, MonotonicTime now) {
        this.self = self;
        this.startedAt = now;
        this.lastCleanUp = now;
        lastSeen.put(self, now);
    }

    /**
     * Records whether there were earlier processes, according to the markers on the platform.
     *
     * @param isFirst whether no process with this VM's name has run before
     * @param isFirstOfAll whether no process of the failure domain has run before, so that nothing was registered there
     */
    public void started(boolean isFirst, boolean isFirstOfAll) {
        synchronized (lock) {
            isFirstOfName = isFirst;
            isFirstOfDomain = isFirstOfAll;
        }
    }

    /**
     * Records that a VM of this failure domain is running.
     *
     * @param member the VM
     * @param now the current time
     */
    public void memberSeen(VmName member, MonotonicTime now) {
        synchronized (lock) {
            lastSeen.put(member, now);
            lastSeen.put(self, now);
            lastSeen.values().removeIf(seen -> now.since(seen).compareTo(RETENTION) > 0);
        }
    }

    /**
     * Registers the process that is to run a request, if its key is new.
     *
     * @param digest the key's digest
     * @param request the request's fingerprint
     * @param runner the process
     * @param now the current time
     * @return the state of the key
     */
    public RegistrarResponse register(
            RequestFingerprint digest, RequestFingerprint request, RegistrarResponse.Runner runner, MonotonicTime now) {
        synchronized (lock) {
            if (now.since(lastCleanUp).compareTo(CLEAN_UP_INTERVAL) >= 0) {
                lastCleanUp = now;
                removeExpired(now);
            }
            Optional<OutcomeRecord> known = known(digest);
            if (known.isPresent()) {
                boolean isSame = known.get().request().equals(request);
                RegistrarResponse.State state = isSame ? known.get().state() : RegistrarResponse.State.OTHER_REQUEST;
                return new RegistrarResponse(state, Optional.of(known.get().runner()), true);
            }
            add(new OutcomeRecord(digest, request, runner, RegistrarResponse.State.RUNNING, now));
            return new RegistrarResponse(RegistrarResponse.State.NEVER_SEEN, Optional.empty(), vouches(digest, now));
        }
    }

    /**
     * Records how a registered run ended. Has no effect unless the given process registered it.
     *
     * @param digest the key's digest
     * @param runner the process
     * @param state FINISHED or OUTCOME_LOST; NEVER_SEEN if it is proved that the request did not run
     */
    public void ended(RequestFingerprint digest, RegistrarResponse.Runner runner, RegistrarResponse.State state) {
        synchronized (lock) {
            List<OutcomeRecord> known = recordsByKey.getOrDefault(digest, new ArrayList<>());
            boolean isProvedNotRun = state == RegistrarResponse.State.NEVER_SEEN;
            if (isProvedNotRun) {
                known.removeIf(record -> record.isRunBy(runner));
            } else {
                known.replaceAll(record -> record.isRunBy(runner) ? record.in(state) : record);
            }
            if (known.isEmpty()) {
                recordsByKey.remove(digest);
            }
        }
    }

    /**
     * Returns all records, to be taken over by a VM that has just started.
     *
     * @return a copy of the records
     */
    public List<OutcomeRecord> records() {
        synchronized (lock) {
            return recordsByKey.values().stream().flatMap(List::stream).toList();
        }
    }

    /**
     * Returns how complete the records of this process are.
     *
     * @param now the current time
     * @return WHOLE if this process was the first of its failure domain, has been running for long enough, or took over
     *     the records of all other members, of which at least one was WHOLE and none was PARTIAL
     */
    public Standing standing(MonotonicTime now) {
        synchronized (lock) {
            if (isWhole(now)) {
                return Standing.WHOLE;
            }
            return isFirstOfName && !hasVouched ? Standing.NEW : Standing.PARTIAL;
        }
    }

    /**
     * Adds the records of another member. Call it only after all VMs have begun to send their registrations to this
     * process too.
     *
     * @param member the other member
     * @param taken its records
     * @param standing how complete its records were at that time
     */
    public void takeOver(VmName member, Collection<OutcomeRecord> taken, Standing standing) {
        synchronized (lock) {
            taken.forEach(this::add);
            takenOver.merge(member, standing, (old, latest) -> old == Standing.WHOLE ? old : latest);
        }
    }

    /**
     * Returns the most informative record of a key: a run that has ended is preferred to one that is only registered.
     */
    private Optional<OutcomeRecord> known(RequestFingerprint digest) {
        return recordsByKey.getOrDefault(digest, List.of()).stream()
                .max(Comparator.comparing(record -> record.state() != RegistrarResponse.State.RUNNING));
    }

    private void add(OutcomeRecord added) {
        List<OutcomeRecord> known = recordsByKey.computeIfAbsent(added.digest(), digest -> new ArrayList<>());
        boolean isKnown = known.stream().anyMatch(record -> record.runner().equals(added.runner()));
        if (!isKnown) {
            known.add(added);
        }
    }

    private boolean vouches(RequestFingerprint digest, MonotonicTime now) {
        List<VmName> registrars = Rendezvous.rank(digest.high(), members(now)).stream()
                .limit(REGISTRARS)
                .toList();
        boolean vouches = registrars.contains(self)
                && (isWhole(now) || registrars.stream().anyMatch(member -> takenOver.get(member) == Standing.WHOLE));
        hasVouched |= vouches;
        return vouches;
    }

    private boolean isWhole(MonotonicTime now) {
        return isFirstOfDomain || now.since(startedAt).compareTo(REQUIRED_HISTORY) >= 0 || hasTakenOverFromAll(now);
    }

    private boolean hasTakenOverFromAll(MonotonicTime now) {
        Set<VmName> others = new HashSet<>(members(now));
        others.remove(self);
        boolean hasTakenOverAll = others.stream()
                .allMatch(member -> takenOver.getOrDefault(member, Standing.PARTIAL) != Standing.PARTIAL);
        return hasTakenOverAll && takenOver.containsValue(Standing.WHOLE);
    }

    private Set<VmName> members(MonotonicTime now) {
        return lastSeen.entrySet().stream()
                .filter(entry -> now.since(entry.getValue()).compareTo(REQUIRED_HISTORY) <= 0)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    private void removeExpired(MonotonicTime now) {
        recordsByKey.values().removeIf(known -> {
            known.removeIf(record -> now.since(record.since()).compareTo(RETENTION) > 0);
            return known.isEmpty();
        });
    }
}
