package org.pollenhoist.standins.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;

/** A bounded cache of prompt prefixes that publishes its changes late and with gaps. */
final class PrefixCache {

    private static final int KEPT_EVENTS = 10_000;

    private final EngineSettings settings;
    private final LinkedHashMap<Entry, Boolean> entries = new LinkedHashMap<>(16, 0.75f, true);
    private final List<TimedEvent> events = new ArrayList<>();
    private long sequence;

    PrefixCache(EngineSettings settings) {
        this.settings = settings;
    }

    /** Uses a prefix; returns whether it was cached already. */
    boolean use(String model, String prefix, Duration now) {
        Entry entry = new Entry(model, prefix);
        if (entries.get(entry) != null) {
            return true;
        }
        if (settings.cachedPrefixes() == 0) {
            return false;
        }
        entries.put(entry, Boolean.TRUE);
        publish(entry, "stored", now);
        if (entries.size() > settings.cachedPrefixes()) {
            Iterator<Entry> oldest = entries.keySet().iterator();
            Entry evicted = oldest.next();
            oldest.remove();
            publish(evicted, "evicted", now);
        }
        return false;
    }

    List<CacheEvent> eventsAfter(long after, Duration now) {
        return events.stream()
                .filter(event -> event.visibleFrom().compareTo(now) <= 0)
                .map(TimedEvent::event)
                .filter(event -> event.sequence() > after)
                .toList();
    }

    private void publish(Entry entry, String kind, Duration now) {
        sequence++;
        if (settings.cacheEventGap() > 0 && sequence % settings.cacheEventGap() == 0) {
            return;
        }
        events.add(new TimedEvent(
                now.plus(settings.cacheEventLag()), new CacheEvent(sequence, entry.model(), entry.prefix(), kind)));
        if (events.size() > KEPT_EVENTS) {
            events.remove(0);
        }
    }

    private record Entry(String model, String prefix) {}

    private record TimedEvent(Duration visibleFrom, CacheEvent event) {}
}
