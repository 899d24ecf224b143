package org.pollenhoist.serving.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.pollenhoist.common.MonotonicTime;

/**
 * Mirrors of one store, some of which hear of it only through others. Responses and relays are late or lost, histories
 * are lost, more items are removed than removals are recorded, and the store comes back from older copies, in a random
 * order.
 */
final class RelaySimulation {

    private static final int MIRRORS = 4;
    private static final int STEPS = 160;
    private static final int MANY_ITEMS = 520;

    private final long seed;
    private final Random random;
    private final RecordedStore store;
    private final List<MirrorUnderTest> mirrors = new ArrayList<>();
    private final List<Relay> relays = new ArrayList<>();
    private MonotonicTime now = MonotonicTime.of(Duration.ofSeconds(100));

    RelaySimulation(long seed) {
        this.seed = seed;
        this.random = new Random(seed);
        this.store = new RecordedStore(random);
    }

    void run() {
        for (int mirror = 0; mirror < MIRRORS; mirror++) {
            mirrors.add(new MirrorUnderTest());
        }
        mirrors.forEach(each -> each.mirror.start());
        for (int step = 0; step < STEPS; step++) {
            now = now.plus(Duration.ofMillis(random.nextInt(2_000)));
            step();
            mirrors.forEach(MirrorUnderTest::assertHoldsWhatItsRevisionSays);
        }
        for (MirrorUnderTest each : mirrors) {
            each.settle();
            assertThat(each.told).as("seed %s", seed).isEqualTo(store.items());
        }
    }

    private void step() {
        MirrorUnderTest one = mirrors.get(random.nextInt(MIRRORS));
        switch (random.nextInt(16)) {
            case 0, 1, 2 -> store.change();
            case 3 -> unusual(one);
            case 4, 5, 6 -> relays.add(new Relay(one, mirrors.get(random.nextInt(MIRRORS))));
            case 7, 8, 9 -> advanceRelay();
            case 10, 11 -> one.store.serve();
            case 12 -> one.mirror.applyDueRemovals(now);
            default -> {
                one.store.deliver(random.nextInt(4) == 0);
                one.loop.runScheduled();
            }
        }
    }

    private void unusual(MirrorUnderTest one) {
        switch (random.nextInt(12)) {
            case 0 -> store.takeCopy();
            case 1 -> store.comeBackFromCopy();
            case 2 -> {
                if (random.nextInt(10) == 0) {
                    store.changeMany(MANY_ITEMS);
                }
            }
            case 3, 4, 5 -> store.loseHistory();
            default -> one.mirror.setFollowing(random.nextBoolean());
        }
    }

    private void advanceRelay() {
        if (!relays.isEmpty()) {
            Relay relay = relays.get(random.nextInt(relays.size()));
            if (relay.advance()) {
                relays.remove(relay);
            }
        }
    }

    /** A request for changes that is answered, and whose response is received, some time later. */
    private final class Relay {

        private final MirrorUnderTest receiver;
        private final MirrorUnderTest sender;
        private final StoreRevision known;
        private StoreChanges changes;

        private Relay(MirrorUnderTest receiver, MirrorUnderTest sender) {
            this.receiver = receiver;
            this.sender = sender;
            this.known = receiver.mirror.revision();
        }

        private boolean advance() {
            if (changes == null) {
                changes = sender.mirror.changesAfter(known, now);
                return false;
            }
            if (changes.revision().number() > 0) {
                receiver.eras.observe(changes.revision().era(), "peer");
                receiver.mirror.applyPeerChanges(changes);
            }
            return true;
        }
    }

    private final class MirrorUnderTest implements StoreListener {

        private final ManualEventLoop loop = new ManualEventLoop();
        private final StoreEras eras = new StoreEras();
        private final LateStore store = new LateStore(eras);
        private final StoreMirror mirror = new StoreMirror(loop, () -> now, store, this, () -> Duration.ZERO);
        private final Map<String, Long> told = new HashMap<>();

        private MirrorUnderTest() {
            eras.onChange(() -> mirror.onNewEra(now));
        }

        /**
         * Holds what a mirror knows against what the store held. Pages of a listing may show items in a later state
         * than that of the first page, from whose revision the changes are read again.
         */
        private void assertHoldsWhatItsRevisionSays() {
            StoreRevision revision = mirror.revision();
            if (revision.number() == 0) {
                return;
            }
            Map<String, Long> stored = RelaySimulation.this.store.itemsAt(revision);
            Map<String, Long> latest = RelaySimulation.this.store.latestItemsOf(revision.era());
            Map<String, Long> known = known();
            known.forEach((key, number) -> {
                if (number <= revision.number()) {
                    assertThat(stored)
                            .as("seed %s, known at %s", seed, revision)
                            .containsEntry(key, number);
                }
            });
            stored.forEach((key, number) -> {
                if (!known.containsKey(key)) {
                    assertThat(latest)
                            .as("seed %s, missing at %s", seed, revision)
                            .doesNotContainEntry(key, number);
                }
            });
        }

        private Map<String, Long> known() {
            return mirror.changesAfter(StoreRevision.NONE, now).items().stream()
                    .collect(Collectors.toMap(
                            StoreItem::key, item -> item.revision().number()));
        }

        private void settle() {
            mirror.setFollowing(true);
            for (int round = 0; round < 12; round++) {
                now = now.plus(Duration.ofSeconds(2));
                store.serve();
                store.deliver(false);
                loop.runScheduled();
            }
            mirror.applyDueRemovals(now);
        }

        @Override
        public void onWritten(StoreItem item) {
            told.put(item.key(), item.revision().number());
        }

        @Override
        public void onRemoved(String key) {
            told.remove(key);
        }

        @Override
        public void onListed() {}

        @Override
        public boolean mayBeRewritten(String key) {
            return key.equals("k1");
        }
    }

    /** A path to the store on which responses are late or lost. */
    private final class LateStore extends ReadOnlyStore {

        private final StoreEras eras;
        private final List<Call> calls = new ArrayList<>();

        private LateStore(StoreEras eras) {
            this.eras = eras;
        }

        /** The store processes the calls that have been made. */
        private void serve() {
            calls.forEach(Call::serve);
        }

        /** Delivers the responses, or reports the calls as failed. */
        private void deliver(boolean isLost) {
            List<Call> due =
                    calls.stream().filter(call -> isLost || call.isServed()).toList();
            calls.removeAll(due);
            due.forEach(call -> call.deliver(isLost, eras));
        }

        @Override
        public void list(String prefix, String afterKey, Consumer<StoreResult<StorePage>> callback) {
            calls.add(new Call(() -> store.list(afterKey), callback));
        }

        @Override
        public void watch(
                String prefix, StoreRevision after, Duration wait, Consumer<StoreResult<StorePage>> callback) {
            calls.add(new Call(() -> store.watch(after), callback));
        }
    }

    private final class Call {

        private final Supplier<StoreResult<StorePage>> response;
        private final Consumer<StoreResult<StorePage>> callback;
        private StoreResult<StorePage> served;
        private long era;

        private Call(Supplier<StoreResult<StorePage>> response, Consumer<StoreResult<StorePage>> callback) {
            this.response = response;
            this.callback = callback;
        }

        private boolean isServed() {
            return served != null;
        }

        private void serve() {
            if (served == null) {
                served = response.get();
                era = store.revision().era();
            }
        }

        private void deliver(boolean isLost, StoreEras eras) {
            if (isLost || !eras.observe(era, "store")) {
                callback.accept(new StoreResult.Unavailable<>("lost"));
            } else {
                callback.accept(served);
            }
        }
    }
}
