package org.pollenhoist.serving.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.pollenhoist.common.MonotonicTime;

/**
 * Three mirrors of a store that comes back from older copies, in a random order of changes, responses, relays and cuts.
 */
final class DrillSimulation {

    private static final int MIRRORS = 3;
    private static final int STEPS = 120;
    private static final int KEYS = 6;

    private final long seed;
    private final Random random;
    private final TreeMap<String, StoreItem> items = new TreeMap<>();
    private final List<StoreItem> history = new ArrayList<>();
    private final List<MirrorUnderTest> mirrors = new ArrayList<>();
    private Map<String, StoreItem> copy = Map.of();
    private long copyNumber;
    private long historyStart;
    private long number = 10;
    private long era = 1;
    private MonotonicTime now = MonotonicTime.of(Duration.ofSeconds(100));

    DrillSimulation(long seed) {
        this.seed = seed;
        this.random = new Random(seed);
    }

    void run() {
        takeCopy();
        for (int mirror = 0; mirror < MIRRORS; mirror++) {
            mirrors.add(new MirrorUnderTest());
        }
        mirrors.forEach(each -> each.mirror.start());
        for (int step = 0; step < STEPS; step++) {
            now = now.plus(Duration.ofSeconds(2));
            step();
        }
        for (MirrorUnderTest each : mirrors) {
            each.isCutOff = false;
            for (int settling = 0; settling < 8; settling++) {
                now = now.plus(Duration.ofSeconds(2));
                each.respond();
                each.loop.runScheduled();
            }
            assertThat(each.known()).as("seed %s", seed).isEqualTo(stored());
        }
    }

    private void step() {
        MirrorUnderTest one = mirrors.get(random.nextInt(MIRRORS));
        switch (random.nextInt(8)) {
            case 0, 1 -> change();
            case 2 -> takeCopy();
            case 3 -> {
                if (random.nextInt(4) == 0) {
                    comeBackFromCopy();
                }
            }
            case 4 -> one.isCutOff = random.nextBoolean();
            case 5 -> relay(mirrors.get(random.nextInt(MIRRORS)), one);
            default -> {
                one.respond();
                one.loop.runScheduled();
            }
        }
    }

    private void change() {
        String key = "k" + random.nextInt(KEYS);
        number++;
        boolean isRemoval = random.nextInt(4) == 0;
        StoreItem item = new StoreItem(key, new byte[0], new StoreRevision(era, number), isRemoval);
        history.add(item);
        if (isRemoval) {
            items.remove(key);
        } else {
            items.put(key, item);
        }
    }

    private void takeCopy() {
        copy = Map.copyOf(items);
        copyNumber = number;
    }

    private void comeBackFromCopy() {
        era++;
        items.clear();
        copy.forEach((key, item) -> items.put(
                key,
                new StoreItem(
                        key,
                        item.value(),
                        new StoreRevision(era, item.revision().number()),
                        false)));
        number = copyNumber;
        historyStart = copyNumber;
        history.clear();
    }

    private Map<String, StoreRevision> stored() {
        Map<String, StoreRevision> stored = new HashMap<>();
        items.forEach((key, item) ->
                stored.put(key, new StoreRevision(era, item.revision().number())));
        return stored;
    }

    private void relay(MirrorUnderTest from, MirrorUnderTest to) {
        StoreChanges changes = from.mirror.changesAfter(to.mirror.revision(), now);
        if (changes.revision().number() > 0) {
            to.eras.observe(changes.revision().era(), "peer");
            to.mirror.applyPeerChanges(changes);
        }
    }

    /** A mirror with its own path to the store, whose calls are answered when the simulation says so. */
    private final class MirrorUnderTest implements StoreListener {

        private final ManualEventLoop loop = new ManualEventLoop();
        private final StoreEras eras = new StoreEras();
        private final QueuedStore store = new QueuedStore();
        private final StoreMirror mirror = new StoreMirror(loop, () -> now, store, this, () -> Duration.ZERO);
        private final Map<String, StoreRevision> told = new HashMap<>();
        private StoreRevision highest = StoreRevision.NONE;
        private boolean isCutOff;

        private MirrorUnderTest() {
            eras.onChange(() -> mirror.onNewEra(now));
        }

        private void respond() {
            store.respond(isCutOff, eras);
            assertThat(highest.isAfter(mirror.revision())).as("seed %s", seed).isFalse();
            highest = mirror.revision();
        }

        private Map<String, StoreRevision> known() {
            return Map.copyOf(told);
        }

        @Override
        public void onWritten(StoreItem item) {
            told.put(item.key(), item.revision());
        }

        @Override
        public void onRemoved(String key) {
            told.remove(key);
        }

        @Override
        public void onListed() {}

        @Override
        public boolean mayBeRewritten(String key) {
            return false;
        }
    }

    /** Answers from the simulated store as it is when the answer is due. */
    private final class QueuedStore extends ReadOnlyStore {

        private final List<Consumer<Boolean>> pending = new ArrayList<>();
        private StoreEras eras;

        private void respond(boolean isCutOff, StoreEras known) {
            eras = known;
            List<Consumer<Boolean>> due = List.copyOf(pending);
            pending.clear();
            due.forEach(call -> call.accept(isCutOff));
        }

        @Override
        public void list(String prefix, String afterKey, Consumer<StoreResult<StorePage>> callback) {
            pending.add(isCutOff -> {
                if (isCutOff) {
                    callback.accept(new StoreResult.Unavailable<>("cut off"));
                    return;
                }
                eras.observe(era, "store");
                List<StoreItem> page = items.tailMap(afterKey, afterKey.isEmpty()).values().stream()
                        .limit(2)
                        .map(this::current)
                        .toList();
                boolean hasMore = !page.isEmpty()
                        && items.higherKey(page.get(page.size() - 1).key()) != null;
                callback.accept(
                        new StoreResult.Success<>(new StorePage(page, new StoreRevision(era, number), hasMore)));
            });
        }

        private StoreItem current(StoreItem item) {
            return new StoreItem(
                    item.key(),
                    item.value(),
                    new StoreRevision(era, item.revision().number()),
                    item.isRemoved());
        }

        @Override
        public void watch(
                String prefix, StoreRevision after, Duration wait, Consumer<StoreResult<StorePage>> callback) {
            pending.add(isCutOff -> {
                if (isCutOff) {
                    callback.accept(new StoreResult.Unavailable<>("cut off"));
                    return;
                }
                eras.observe(era, "store");
                if (after.number() > number || after.number() < historyStart) {
                    callback.accept(new StoreResult.Rejected<>("410"));
                    return;
                }
                List<StoreItem> changed = history.stream()
                        .filter(item -> item.revision().number() > after.number())
                        .toList();
                callback.accept(
                        new StoreResult.Success<>(new StorePage(changed, new StoreRevision(era, number), false)));
            });
        }
    }
}
