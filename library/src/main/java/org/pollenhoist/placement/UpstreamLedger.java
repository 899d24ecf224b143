package org.pollenhoist.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.upstream.EngineItem;
import org.pollenhoist.upstream.EngineOrder;
import org.pollenhoist.upstream.EngineReport;

/**
 * The write-ahead ledger of one engine: what it holds and every order that may still take effect. It is replaced by
 * compare-and-swap before an order is sent, so that the memory of all that may be resident never exceeds the engine's.
 *
 * <p>An order's fencing number is the version of the record that first contains it; later orders have higher ones,
 * whichever process writes them.
 *
 * @param upstream the engine
 * @param capacityBytes its accelerator memory for items, in bytes
 * @param writer the process and term that wrote the record
 * @param change unique to each write, to tell after a lost answer whether the write took effect
 * @param incarnation the engine's incarnation that the record describes, empty before the first report
 * @param sequence the sequence of the last report that the record contains
 * @param residents the items of that report with their bytes
 * @param orders the orders that may still take effect or of which late copies may arrive
 */
public record UpstreamLedger(
        UpstreamName upstream,
        long capacityBytes,
        String writer,
        String change,
        String incarnation,
        long sequence,
        SortedMap<EngineItem, Long> residents,
        List<LedgerOrder> orders) {

    /** Copies the collections. */
    public UpstreamLedger {
        residents = new TreeMap<>(residents);
        orders = List.copyOf(orders);
    }

    /**
     * Returns the ledger of an engine of which nothing is known.
     *
     * @param upstream the engine
     * @param capacityBytes its accelerator memory, in bytes
     * @return the ledger
     */
    public static UpstreamLedger empty(UpstreamName upstream, long capacityBytes) {
        return new UpstreamLedger(upstream, capacityBytes, "", "", "", 0, new TreeMap<>(), List.of());
    }

    /**
     * Returns the ledger under a new writer and change identifier.
     *
     * @param newWriter the process and term
     * @param newChange unique to this write
     * @return the ledger to write
     */
    public UpstreamLedger writtenBy(String newWriter, String newChange) {
        return new UpstreamLedger(
                upstream, capacityBytes, newWriter, newChange, incarnation, sequence, residents, orders);
    }

    UpstreamLedger withCapacity(long newCapacityBytes) {
        return new UpstreamLedger(upstream, newCapacityBytes, writer, change, incarnation, sequence, residents, orders);
    }

    /** Tells whether another ledger says the same but for who wrote it and the sequence of the last report. */
    boolean hasSameContent(UpstreamLedger other) {
        return capacityBytes == other.capacityBytes
                && incarnation.equals(other.incarnation)
                && residents.equals(other.residents)
                && orders.equals(other.orders);
    }

    boolean isNewerThan(EngineReport report) {
        return report.incarnation().equals(incarnation) && report.sequence() < sequence;
    }

    /**
     * Takes in a report that was asked for after this ledger was known. A report that is not newer than the last one
     * changes nothing.
     *
     * @param report the report
     * @param refusesOldFencing whether the engine refuses orders with old fencing numbers
     * @param expired the settled orders of which no late copy can arrive any more
     * @return the ledger with the evidence of the report
     */
    public UpstreamLedger afterReport(EngineReport report, boolean refusesOldFencing, Set<String> expired) {
        boolean isSameIncarnation = report.incarnation().equals(incarnation);
        if (isSameIncarnation && report.sequence() <= sequence) {
            return this;
        }
        SortedMap<EngineItem, Long> newResidents = new TreeMap<>();
        report.residents().forEach(resident -> newResidents.put(resident.item(), resident.bytes()));
        List<LedgerOrder> newOrders = new ArrayList<>();
        for (LedgerOrder order : orders) {
            evidence(order, report, refusesOldFencing, expired).ifPresent(newOrders::add);
        }
        return new UpstreamLedger(
                upstream,
                capacityBytes,
                writer,
                change,
                report.incarnation(),
                report.sequence(),
                newResidents,
                newOrders);
    }

    private static Optional<LedgerOrder> evidence(
            LedgerOrder order, EngineReport report, boolean refusesOldFencing, Set<String> expired) {
        Optional<EngineReport.OrderState> reported =
                report.orderState(order.order().identifier());
        boolean isUnderWay = reported.isPresent() && !reported.get().isEnded();
        if (isUnderWay) {
            return Optional.of(order);
        }
        boolean isFenced =
                refusesOldFencing && report.highestFencing() > order.order().fencing();
        boolean isExpired = !refusesOldFencing && expired.contains(order.order().identifier());
        if (isFenced || (isExpired && !order.isOpen())) {
            return Optional.empty();
        }
        boolean isOtherIncarnation = !report.incarnation().equals(order.incarnation());
        boolean isLoaded =
                order.order().isLoad() && report.isReady(order.order().item());
        return Optional.of(reported.isPresent() || isOtherIncarnation || isLoaded ? order.settled() : order);
    }

    /**
     * Returns the memory of all items that are or may become resident.
     *
     * @return bytes
     */
    public long committedBytes() {
        return committed().values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Returns all items that are or may become resident with their bytes.
     *
     * @return the items
     */
    public SortedMap<EngineItem, Long> committed() {
        SortedMap<EngineItem, Long> committed = new TreeMap<>(residents);
        for (LedgerOrder order : orders) {
            if (order.order().isLoad()) {
                committed.merge(order.order().item(), order.order().bytes(), Math::max);
            }
        }
        return committed;
    }

    /**
     * Tells whether an order to load an item keeps within memory and can't be undone by an earlier order.
     *
     * @param item the item
     * @param bytes its memory, in bytes
     * @param refusesOldFencing whether the engine refuses orders with old fencing numbers
     * @return whether it may be ordered
     */
    public boolean isLoadSafe(EngineItem item, long bytes, boolean refusesOldFencing) {
        boolean mayBeUnloadedLater = orders.stream()
                .filter(order -> !order.order().isLoad())
                .filter(order -> order.isOpen() || !refusesOldFencing)
                .anyMatch(order -> order.order().item().equals(item));
        boolean isBeingLoaded = orders.stream()
                .anyMatch(order -> order.isOpen()
                        && order.order().isLoad()
                        && order.order().item().equals(item));
        if (mayBeUnloadedLater || isBeingLoaded || residents.containsKey(item)) {
            return false;
        }
        SortedMap<EngineItem, Long> committed = committed();
        committed.merge(item, bytes, Math::max);
        return committed.values().stream().mapToLong(Long::longValue).sum() <= capacityBytes;
    }

    /**
     * Tells whether an order to unload an item has a settled state to act on.
     *
     * @param item the item
     * @return whether it may be ordered as far as this engine is concerned
     */
    public boolean isUnloadSafe(EngineItem item) {
        boolean hasOpenOrder = orders.stream()
                .anyMatch(order -> order.isOpen() && order.order().item().equals(item));
        return !hasOpenOrder && committed().containsKey(item);
    }

    /**
     * Tells whether an unload order for an item may still take effect.
     *
     * @param item the item
     * @return whether its copy must be counted as gone
     */
    public boolean isUnloadPending(EngineItem item) {
        return orders.stream()
                .anyMatch(
                        order -> !order.order().isLoad() && order.order().item().equals(item));
    }

    /**
     * Returns the orders to load that may still take effect.
     *
     * @return the orders
     */
    public List<LedgerOrder> openLoads() {
        return orders.stream()
                .filter(order -> order.isOpen() && order.order().isLoad())
                .toList();
    }

    /**
     * Adds an order.
     *
     * @param order the order, with the version that the record will have as its fencing number
     * @return the ledger to write before the order is sent
     * @throws org.pollenhoist.common.PollenhoistException with {@code INTERNAL} where memory would be overcommitted
     */
    public UpstreamLedger withOrder(EngineOrder order) {
        List<LedgerOrder> newOrders = new ArrayList<>(orders);
        newOrders.add(new LedgerOrder(order, incarnation, LedgerOrder.State.OPEN));
        UpstreamLedger result = new UpstreamLedger(
                upstream, capacityBytes, writer, change, incarnation, sequence, residents, newOrders);
        if (order.isLoad() && result.committedBytes() > capacityBytes) {
            throw PlacementErrors.overcommitted(upstream, result.committedBytes(), capacityBytes);
        }
        return result;
    }
}
