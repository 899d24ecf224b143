package org.pollenhoist.serving.store;

import java.util.ArrayList;
import java.util.List;

/** Records changes of items in the order in which they are reported; only "b" is not written again by its owner. */
final class RecordingListener implements StoreListener {

    final List<String> events = new ArrayList<>();
    String rejectedKey = "";

    @Override
    public void onWritten(StoreItem item) {
        if (item.key().equals(rejectedKey)) {
            throw new IllegalArgumentException("odd item");
        }
        events.add(item.key() + "=" + item.revision());
    }

    @Override
    public void onRemoved(String key) {
        if (key.equals(rejectedKey)) {
            throw new IllegalArgumentException("odd removal");
        }
        events.add("-" + key);
    }

    @Override
    public void onListed() {
        events.add("listed");
    }

    @Override
    public boolean mayBeRewritten(String key) {
        return !key.equals("b");
    }
}
