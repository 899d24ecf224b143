package org.pollenhoist.serving.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.pollenhoist.serving.http.ResponseTimeout;
import org.pollenhoist.serving.store.Store;
import org.pollenhoist.serving.store.StoreEras;
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.store.StoreLease;
import org.pollenhoist.serving.store.StorePage;
import org.pollenhoist.serving.store.StoreResult;
import org.pollenhoist.serving.store.StoreRevision;

/** A store with a history that can be watched, which can come back from an older copy of itself. */
final class SimulatedHistoryStore {

    private static final long ONE_WAY_MILLISECONDS = 2;
    private static final int PAGE_ITEMS = 500;
    /** Size of a request, and of what a response holds beside its items. */
    private static final int HEAD_BYTES = 200;
    /** Size of what stands beside a value in an item: names, key and revision. */
    private static final int ITEM_BYTES = 100;

    /** As in the adapter of the platform's store, which these tests can't see. */
    private static final ResponseTimeout CALL_TIMEOUT =
            new ResponseTimeout(Duration.ofSeconds(1), Duration.ofSeconds(1));

    private static final Duration WATCH_GRACE_PERIOD = Duration.ofMillis(400);
    private static final Duration WATCH_PROGRESS_PERIOD = Duration.ofMillis(400);

    /** How the store treats the calls of one VM. */
    enum Treatment {
        SERVED,
        /** Calls get 503, 429 or a reset, and so do watches that wait. */
        REJECTED,
        /** Calls get no answer, and neither do watches that wait. */
        UNANSWERED
    }

    private final SimulatedClock clock;
    private final SimulatedLink link;
    private final Random random;
    private final TreeMap<String, StoreItem> items = new TreeMap<>();
    private final List<StoreItem> history = new ArrayList<>();
    private final List<Access> accesses = new ArrayList<>();
    private Map<String, StoreItem> copy = Map.of();
    private long copyNumber;
    private long historyStart;
    private long number = 10;
    private long era = 1;
    private long calls;

    SimulatedHistoryStore(SimulatedClock clock, SimulatedLink link, Random random) {
        this.clock = clock;
        this.link = link;
        this.random = random;
    }

    /** Returns how many calls VMs have made, refused ones included. */
    long calls() {
        return calls;
    }

    /** Writes an item and returns its revision. */
    StoreRevision write(String key, byte[] value) {
        StoreItem item = new StoreItem(key, value, new StoreRevision(era, ++number), false);
        items.put(key, item);
        history.add(item);
        List.copyOf(accesses).forEach(Access::answerWatch);
        return item.revision();
    }

    void takeCopy() {
        copy = Map.copyOf(items);
        copyNumber = number;
    }

    /** Comes back from the last copy, in a new era; waiting watches are cut. */
    void comeBackFromCopy() {
        era++;
        items.clear();
        copy.forEach((key, item) -> items.put(key, inCurrentEra(item)));
        number = copyNumber;
        historyStart = copyNumber;
        history.clear();
        List.copyOf(accesses).forEach(Access::cutWatch);
    }

    private StoreItem inCurrentEra(StoreItem item) {
        return new StoreItem(
                item.key(), item.value(), new StoreRevision(era, item.revision().number()), item.isRemoved());
    }

    /** Creates the access of one process, which treats its calls as told. */
    Access access(StoreEras eras, SimulatedLink vmLink, Consumer<Runnable> process) {
        Access access = new Access(eras, vmLink, process);
        accesses.add(access);
        return access;
    }

    /** Values travel as base64 in JSON. */
    private static long encodedBytes(StorePage page) {
        return page.items().stream()
                .mapToLong(item -> ITEM_BYTES + (item.value().length + 2) / 3 * 4L)
                .sum();
    }

    private record Watch(SimulatedCall<StoreResult<StorePage>> call, long after) {}

    /** The store as one process reaches it. */
    final class Access implements Store {

        private final StoreEras eras;
        private final SimulatedLink vmLink;
        private final Consumer<Runnable> process;
        private Treatment treatment = Treatment.SERVED;
        private double lostResponses;
        private boolean isOpen = true;
        private final List<Watch> waiting = new ArrayList<>();

        private Access(StoreEras eras, SimulatedLink vmLink, Consumer<Runnable> process) {
            this.eras = eras;
            this.vmLink = vmLink;
            this.process = process;
        }

        void treat(Treatment next) {
            treatment = next;
            if (next == Treatment.REJECTED) {
                cutWatch();
            }
        }

        /** Lets a share of the responses get lost. */
        void loseResponses(double share) {
            lostResponses = share;
        }

        /** Ends with its process. */
        void close() {
            isOpen = false;
            accesses.remove(this);
            waiting.clear();
        }

        @Override
        public void list(String prefix, String afterKey, Consumer<StoreResult<StorePage>> callback) {
            SimulatedCall<StoreResult<StorePage>> call = send(callback, CALL_TIMEOUT, () -> {});
            request(() -> {
                if (isAccepted(call)) {
                    List<StoreItem> rest = items.tailMap(afterKey, afterKey.isEmpty()).values().stream()
                            .toList();
                    List<StoreItem> page = rest.stream().limit(PAGE_ITEMS).toList();
                    boolean hasMore = rest.size() > page.size();
                    respond(call, new StorePage(page, revision(), hasMore));
                }
            });
        }

        @Override
        public void watch(
                String prefix, StoreRevision after, Duration wait, Consumer<StoreResult<StorePage>> callback) {
            if (after.era() < eras.current()) {
                callback.accept(new StoreResult.Rejected<>("of an earlier era"));
                return;
            }
            SimulatedCall<StoreResult<StorePage>> call = send(
                    callback,
                    new ResponseTimeout(wait.plus(WATCH_GRACE_PERIOD), WATCH_PROGRESS_PERIOD),
                    () -> waiting.removeIf(watch -> watch.call().isComplete()));
            request(() -> {
                if (!isAccepted(call)) {
                    return;
                }
                if (after.number() > number || after.number() < historyStart) {
                    respond(call, new StoreResult.Rejected<>("410"), HEAD_BYTES);
                    return;
                }
                Watch watch = new Watch(call, after.number());
                waiting.add(watch);
                answerWatch();
                clock.after(wait.toMillis(), () -> {
                    if (waiting.remove(watch) && treatment != Treatment.UNANSWERED) {
                        respond(call, new StorePage(List.of(), revision(), false));
                    }
                });
            });
        }

        private SimulatedCall<StoreResult<StorePage>> send(
                Consumer<StoreResult<StorePage>> callback, ResponseTimeout timeout, Runnable ended) {
            calls++;
            SimulatedCall<StoreResult<StorePage>> call = new SimulatedCall<>(result -> {
                ended.run();
                callback.accept(result);
            });
            call.giveUpWithoutProgress(
                    timeout,
                    (delay, action) -> clock.after(delay, () -> process.accept(action)),
                    new StoreResult.Unavailable<>("no response"));
            return call;
        }

        private void request(Runnable received) {
            SimulatedTransfer.begin(clock, vmLink, link, ONE_WAY_MILLISECONDS, HEAD_BYTES, received);
        }

        private boolean isAccepted(SimulatedCall<StoreResult<StorePage>> call) {
            if (treatment == Treatment.REJECTED) {
                fail(call, "status 503");
            }
            return treatment == Treatment.SERVED;
        }

        private void fail(SimulatedCall<StoreResult<StorePage>> call, String reason) {
            clock.after(
                    ONE_WAY_MILLISECONDS,
                    () -> process.accept(() -> call.complete(new StoreResult.Unavailable<>(reason))));
        }

        private void respond(SimulatedCall<StoreResult<StorePage>> call, StorePage page) {
            respond(call, new StoreResult.Success<>(page), HEAD_BYTES + encodedBytes(page));
        }

        private void respond(SimulatedCall<StoreResult<StorePage>> call, StoreResult<StorePage> result, long bytes) {
            if (random.nextDouble() < lostResponses) {
                return;
            }
            long sentInEra = era;
            call.receives(SimulatedTransfer.begin(
                    clock,
                    link,
                    vmLink,
                    ONE_WAY_MILLISECONDS,
                    bytes,
                    () -> isOpen && !call.isComplete(),
                    () -> process.accept(() -> {
                        if (!call.isComplete()) {
                            boolean isNewest = eras.observe(sentInEra, "store");
                            call.complete(isNewest ? result : new StoreResult.Unavailable<>("earlier era"));
                        }
                    })));
        }

        private StoreRevision revision() {
            return new StoreRevision(era, number);
        }

        private void answerWatch() {
            for (Watch watch : List.copyOf(waiting)) {
                Map<String, StoreItem> changed = new HashMap<>();
                history.stream()
                        .filter(item -> item.revision().number() > watch.after())
                        .forEach(item -> changed.put(item.key(), item));
                if (!changed.isEmpty()) {
                    waiting.remove(watch);
                    if (treatment == Treatment.SERVED) {
                        respond(watch.call(), new StorePage(List.copyOf(changed.values()), revision(), false));
                    }
                }
            }
        }

        private void cutWatch() {
            for (Watch watch : List.copyOf(waiting)) {
                waiting.remove(watch);
                if (treatment != Treatment.UNANSWERED) {
                    fail(watch.call(), "reset");
                }
            }
        }

        @Override
        public void commit(
                List<Condition> conditions,
                List<Write> writes,
                List<String> removals,
                Consumer<StoreResult<StoreRevision>> callback) {
            throw new UnsupportedOperationException("mirrors only read");
        }

        @Override
        public void grantLease(Duration duration, Consumer<StoreResult<StoreLease>> callback) {
            throw new UnsupportedOperationException("mirrors only read");
        }

        @Override
        public void renewLease(StoreLease lease, Consumer<StoreResult<Duration>> callback) {
            throw new UnsupportedOperationException("mirrors only read");
        }

        @Override
        public void endLease(StoreLease lease) {
            throw new UnsupportedOperationException("mirrors only read");
        }
    }
}
