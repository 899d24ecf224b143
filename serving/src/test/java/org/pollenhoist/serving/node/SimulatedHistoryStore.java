package org.pollenhoist.serving.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
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
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration WATCH_GRACE_PERIOD = Duration.ofMillis(400);

    /** How the store treats the calls of one VM. */
    enum Treatment {
        SERVED,
        /** Calls get 503, 429 or a reset, and so do watches that wait. */
        REJECTED,
        /** Calls get no answer, and neither do watches that wait. */
        UNANSWERED
    }

    private final BiConsumer<Long, Runnable> timer;
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

    SimulatedHistoryStore(BiConsumer<Long, Runnable> timer, Random random) {
        this.timer = timer;
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
    Access access(StoreEras eras, Consumer<Runnable> process) {
        Access access = new Access(eras, process);
        accesses.add(access);
        return access;
    }

    private static final class Call {

        private final Consumer<StoreResult<StorePage>> callback;
        private final long after;
        private boolean isComplete;

        private Call(Consumer<StoreResult<StorePage>> callback, long after) {
            this.callback = callback;
            this.after = after;
        }
    }

    /** The store as one process reaches it. */
    final class Access implements Store {

        private final StoreEras eras;
        private final Consumer<Runnable> process;
        private Treatment treatment = Treatment.SERVED;
        private double lostResponses;
        private final List<Call> waiting = new ArrayList<>();

        private Access(StoreEras eras, Consumer<Runnable> process) {
            this.eras = eras;
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
            accesses.remove(this);
            waiting.clear();
        }

        @Override
        public void list(String prefix, String afterKey, Consumer<StoreResult<StorePage>> callback) {
            Call call = send(callback, 0, CALL_TIMEOUT);
            timer.accept(ONE_WAY_MILLISECONDS, () -> {
                if (isAccepted(call)) {
                    List<StoreItem> rest = items.tailMap(afterKey, afterKey.isEmpty()).values().stream()
                            .toList();
                    List<StoreItem> page = rest.stream().limit(PAGE_ITEMS).toList();
                    boolean hasMore = rest.size() > page.size();
                    respond(call, new StoreResult.Success<>(new StorePage(page, revision(), hasMore)));
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
            Call call = send(callback, after.number(), wait.plus(WATCH_GRACE_PERIOD));
            timer.accept(ONE_WAY_MILLISECONDS, () -> {
                if (!isAccepted(call)) {
                    return;
                }
                if (after.number() > number || after.number() < historyStart) {
                    respond(call, new StoreResult.Rejected<>("410"));
                    return;
                }
                waiting.add(call);
                answerWatch();
                timer.accept(wait.toMillis(), () -> {
                    if (waiting.remove(call) && treatment != Treatment.UNANSWERED) {
                        respond(call, new StoreResult.Success<>(new StorePage(List.of(), revision(), false)));
                    }
                });
            });
        }

        private Call send(Consumer<StoreResult<StorePage>> callback, long after, Duration timeout) {
            calls++;
            Call call = new Call(callback, after);
            timer.accept(
                    timeout.toMillis(),
                    () -> process.accept(() -> complete(call, new StoreResult.Unavailable<>("no response"))));
            return call;
        }

        private boolean isAccepted(Call call) {
            if (treatment == Treatment.REJECTED) {
                timer.accept(
                        ONE_WAY_MILLISECONDS,
                        () -> process.accept(() -> complete(call, new StoreResult.Unavailable<>("status 503"))));
            }
            return treatment == Treatment.SERVED;
        }

        private void respond(Call call, StoreResult<StorePage> result) {
            if (random.nextDouble() < lostResponses) {
                return;
            }
            long sentInEra = era;
            timer.accept(
                    ONE_WAY_MILLISECONDS,
                    () -> process.accept(() -> {
                        if (!call.isComplete) {
                            boolean isNewest = eras.observe(sentInEra, "store");
                            complete(call, isNewest ? result : new StoreResult.Unavailable<>("earlier era"));
                        }
                    }));
        }

        private void complete(Call call, StoreResult<StorePage> result) {
            if (!call.isComplete) {
                call.isComplete = true;
                waiting.remove(call);
                call.callback.accept(result);
            }
        }

        private StoreRevision revision() {
            return new StoreRevision(era, number);
        }

        private void answerWatch() {
            for (Call call : List.copyOf(waiting)) {
                Map<String, StoreItem> changed = new HashMap<>();
                history.stream()
                        .filter(item -> item.revision().number() > call.after)
                        .forEach(item -> changed.put(item.key(), item));
                if (!changed.isEmpty()) {
                    waiting.remove(call);
                    if (treatment == Treatment.SERVED) {
                        respond(
                                call,
                                new StoreResult.Success<>(
                                        new StorePage(List.copyOf(changed.values()), revision(), false)));
                    }
                }
            }
        }

        private void cutWatch() {
            for (Call call : List.copyOf(waiting)) {
                waiting.remove(call);
                if (treatment != Treatment.UNANSWERED) {
                    timer.accept(
                            ONE_WAY_MILLISECONDS,
                            () -> process.accept(() -> complete(call, new StoreResult.Unavailable<>("reset"))));
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
