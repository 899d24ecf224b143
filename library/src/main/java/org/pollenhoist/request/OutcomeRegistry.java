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
 * The registrar's side of requests with idempotency keys: two VMs of a key's home failure domain, the first two by
 * rendezvous hashing, note who runs it before it runs. A registrar vouches for a key where it would know of every
 * earlier run within {@link #PROMISED}: it is among the first two of all members seen in that time, so that each
 * registration since its start came to it, and it holds the earlier ones, since it has been up for that long or took
 * them over from the other one of the two. Thread-safe; one lock, a leaf.
 */
public final class OutcomeRegistry {

    /** Within this time after a key was first used, no VM runs it again. */
    public static final Duration PROMISED = Duration.ofMinutes(10);

    /** How many registrars note each key. */
    public static final int REGISTRARS = 2;

    private static final Duration REMEMBERED = Duration.ofHours(1);
    private static final Duration BETWEEN_FORGETTING = Duration.ofMinutes(1);

    /** How far back a registrar has to know; covers the time in which VMs may still differ about the members. */
    private static final Duration NEEDED = PROMISED.plus(Duration.ofSeconds(30));

    private final VmName self;
    private final Object lock = new Object();
    /** Several records of one key may come together by taking over; the key is free only when all have gone. */
    private final Map<RequestFingerprint, List<OutcomeRecord>> recordsByKey = new LinkedHashMap<>();

    private final Map<VmName, MonotonicTime> lastSeen = new HashMap<>();
    private final Map<VmName, Standing> takenOver = new HashMap<>();
    private final MonotonicTime startedAt;
    private MonotonicTime lastForgotten;
    private boolean isFirstOfDomain;
    private boolean isFirstOfName;
    private boolean hasVouched;

    /**
     * Creates the registry of a process that has just started and knows of nothing before.
     *
     * @param self the name of this VM
     * @param now the present time
     */
    public OutcomeRegistry(VmName self, MonotonicTime now) {
        this.self = self;
        this.startedAt = now;
        this.lastForgotten = now;
        lastSeen.put(self, now);
    }

    /**
     * Notes what the platform's markers say of processes before this one.
     *
     * @param isFirst whether no process of this VM's name ever ran before
     * @param isFirstOfAll whether no process of the failure domain did, so that nothing was ever registered there
     */
    public void started(boolean isFirst, boolean isFirstOfAll) {
        synchronized (lock) {
            isFirstOfName = isFirst;
            isFirstOfDomain = isFirstOfAll;
        }
    }

    /**
     * Notes that a VM of this failure domain is up.
     *
     * @param member the VM
     * @param now the present time
     */
    public void memberSeen(VmName member, MonotonicTime now) {
        synchronized (lock) {
            lastSeen.put(member, now);
            lastSeen.put(self, now);
            lastSeen.values().removeIf(seen -> now.since(seen).compareTo(REMEMBERED) > 0);
        }
    }

    /**
     * Registers a process that wants to run a request, where the key is new.
     *
     * @param digest the key's digest
     * @param request the request's fingerprint
     * @param runner the process
     * @param now the present time
     * @return what is known
     */
    public RegistrarResponse register(
            RequestFingerprint digest, RequestFingerprint request, RegistrarResponse.Runner runner, MonotonicTime now) {
        synchronized (lock) {
            if (now.since(lastForgotten).compareTo(BETWEEN_FORGETTING) >= 0) {
                lastForgotten = now;
                forgetOld(now);
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
     * Notes how a registered run ended. Only the process that registered it can.
     *
     * @param digest the key's digest
     * @param runner the process
     * @param state FINISHED or OUTCOME_LOST; NEVER_SEEN where it is proved that the request did not run
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
     * Returns all records, for a VM that has just started.
     *
     * @return a copy
     */
    public List<OutcomeRecord> records() {
        synchronized (lock) {
            return recordsByKey.values().stream().flatMap(List::stream).toList();
        }
    }

    /**
     * Returns what this process knows.
     *
     * @param now the present time
     * @return WHOLE where it was the first of its failure domain, has been up for long enough, or took over from all
     *     other members, one of them whole and none of them partial
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
     * Takes over the records of another member, once all VMs send their registrations to this process as well.
     *
     * @param member the other member
     * @param taken its records
     * @param standing what it knew at that time
     */
    public void takeOver(VmName member, Collection<OutcomeRecord> taken, Standing standing) {
        synchronized (lock) {
            taken.forEach(this::add);
            takenOver.merge(member, standing, (old, latest) -> old == Standing.WHOLE ? old : latest);
        }
    }

    /** The record that tells most: one that has ended, before one that is only registered. */
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
        List<VmName> firstTwo = Rendezvous.rank(digest.high(), members(now)).stream()
                .limit(REGISTRARS)
                .toList();
        boolean vouches = firstTwo.contains(self)
                && (isWhole(now) || firstTwo.stream().anyMatch(member -> takenOver.get(member) == Standing.WHOLE));
        hasVouched |= vouches;
        return vouches;
    }

    private boolean isWhole(MonotonicTime now) {
        return isFirstOfDomain || now.since(startedAt).compareTo(NEEDED) >= 0 || hasTakenOverFromAll(now);
    }

    private boolean hasTakenOverFromAll(MonotonicTime now) {
        Set<VmName> others = new HashSet<>(members(now));
        others.remove(self);
        boolean isNoneMissing = others.stream()
                .allMatch(member -> takenOver.getOrDefault(member, Standing.PARTIAL) != Standing.PARTIAL);
        return isNoneMissing && takenOver.containsValue(Standing.WHOLE);
    }

    private Set<VmName> members(MonotonicTime now) {
        return lastSeen.entrySet().stream()
                .filter(entry -> now.since(entry.getValue()).compareTo(NEEDED) <= 0)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    private void forgetOld(MonotonicTime now) {
        recordsByKey.values().removeIf(known -> {
            known.removeIf(record -> now.since(record.since()).compareTo(REMEMBERED) > 0);
            return known.isEmpty();
        });
    }
}
