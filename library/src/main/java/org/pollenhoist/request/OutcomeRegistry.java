package org.pollenhoist.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
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

    /** How far back a registrar has to know; covers the time in which VMs may still differ about the members. */
    private static final Duration NEEDED = PROMISED.plus(Duration.ofSeconds(30));

    private final VmName self;
    private final Object lock = new Object();
    private final Map<RequestFingerprint, OutcomeRecord> records = new LinkedHashMap<>();
    private final Map<VmName, MonotonicTime> lastSeen = new HashMap<>();
    private final Set<VmName> takenOverWhole = new HashSet<>();
    private final MonotonicTime startedAt;
    private boolean startedEmpty;

    /**
     * Creates the registry of a process that has just started and knows of nothing before.
     *
     * @param self the name of this VM
     * @param now the present time
     */
    public OutcomeRegistry(VmName self, MonotonicTime now) {
        this.self = self;
        this.startedAt = now;
        lastSeen.put(self, now);
    }

    /** Notes that the failure domain had no process before this one, so that nothing was ever registered there. */
    public void startEmpty() {
        synchronized (lock) {
            startedEmpty = true;
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
    public RegistrarAnswer register(
            RequestFingerprint digest, RequestFingerprint request, RegistrarAnswer.Runner runner, MonotonicTime now) {
        synchronized (lock) {
            forgetOld(now);
            OutcomeRecord known = records.get(digest);
            if (known != null) {
                boolean isSame = known.request().equals(request);
                RegistrarAnswer.State state = isSame ? known.state() : RegistrarAnswer.State.OTHER_REQUEST;
                return new RegistrarAnswer(state, Optional.of(known.runner()), true);
            }
            records.put(digest, new OutcomeRecord(digest, request, runner, RegistrarAnswer.State.RUNNING, now));
            return new RegistrarAnswer(RegistrarAnswer.State.NEVER_SEEN, Optional.empty(), vouches(digest, now));
        }
    }

    /**
     * Notes how a registered run ended. Only the process that registered it can.
     *
     * @param digest the key's digest
     * @param runner the process
     * @param state FINISHED or OUTCOME_LOST; NEVER_SEEN where it is proved that the request did not run
     */
    public void ended(RequestFingerprint digest, RegistrarAnswer.Runner runner, RegistrarAnswer.State state) {
        synchronized (lock) {
            OutcomeRecord known = records.get(digest);
            if (known == null || !known.runner().equals(runner) || known.state() != RegistrarAnswer.State.RUNNING) {
                return;
            }
            if (state == RegistrarAnswer.State.NEVER_SEEN) {
                records.remove(digest);
            } else {
                records.put(digest, known.in(state));
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
            return new ArrayList<>(records.values());
        }
    }

    /**
     * Tells whether this process knows all registrations of its keys within the promised time.
     *
     * @param now the present time
     * @return true where it started empty, has been up for long enough, or took over from all other members
     */
    public boolean isWhole(MonotonicTime now) {
        synchronized (lock) {
            Set<VmName> others = new HashSet<>(members(now));
            others.remove(self);
            boolean isTakenOverFromAll = !others.isEmpty() && takenOverWhole.containsAll(others);
            return knowsSinceStart(now) || isTakenOverFromAll;
        }
    }

    /**
     * Takes over the records of another member, once all VMs send their registrations to this process as well.
     *
     * @param member the other member
     * @param taken its records
     * @param isWhole whether it knows all registrations of its keys
     */
    public void takeOver(VmName member, Collection<OutcomeRecord> taken, boolean isWhole) {
        synchronized (lock) {
            taken.forEach(record -> records.putIfAbsent(record.digest(), record));
            if (isWhole) {
                takenOverWhole.add(member);
            }
        }
    }

    private boolean vouches(RequestFingerprint digest, MonotonicTime now) {
        List<VmName> firstTwo = Rendezvous.rank(digest.high(), members(now)).stream()
                .limit(REGISTRARS)
                .toList();
        boolean isOneOfThem = firstTwo.contains(self);
        return isOneOfThem && (knowsSinceStart(now) || firstTwo.stream().anyMatch(takenOverWhole::contains));
    }

    private boolean knowsSinceStart(MonotonicTime now) {
        return startedEmpty || now.since(startedAt).compareTo(NEEDED) >= 0;
    }

    private Set<VmName> members(MonotonicTime now) {
        return lastSeen.entrySet().stream()
                .filter(entry -> now.since(entry.getValue()).compareTo(NEEDED) <= 0)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    private void forgetOld(MonotonicTime now) {
        var oldestFirst = records.values().iterator();
        while (oldestFirst.hasNext()) {
            if (now.since(oldestFirst.next().since()).compareTo(REMEMBERED) <= 0) {
                return;
            }
            oldestFirst.remove();
        }
    }
}
