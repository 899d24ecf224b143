package org.pollenhoist.serving.node;

import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.store.StoreListener;

/** A VM of a simulated fleet without engines, placement leader and items that are removed. */
interface VmWithoutEngines extends DigestExchange.LocalVm, StoreListener {

    @Override
    default boolean isSendingOrders(MonotonicTime at) {
        return false;
    }

    @Override
    default boolean hasUrgentNotices(MonotonicTime at) {
        return false;
    }

    @Override
    default void onResidentModelsChanged(MonotonicTime at) {
        // There are no engines.
    }

    @Override
    default void onPeerModelRequests(MonotonicTime at) {
        // There is no placement leader.
    }

    @Override
    default void onRemoved(String key) {
        // Nothing is removed that a configuration depends on.
    }

    @Override
    default void onListed() {
        // There is no placement leader.
    }

    @Override
    default boolean mayBeRewritten(String key) {
        return false;
    }
}
