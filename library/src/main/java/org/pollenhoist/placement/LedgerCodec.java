package org.pollenhoist.placement;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.TreeMap;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.upstream.EngineItem;
import org.pollenhoist.upstream.EngineOrder;

/** The JSON form in which a ledger is stored in the platform's service. */
public final class LedgerCodec {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String KEY_PREFIX = "placement/ledger/";

    private LedgerCodec() {}

    /**
     * Returns the key of an engine's ledger.
     *
     * @param upstream the engine
     * @return the key
     */
    public static String key(UpstreamName upstream) {
        return KEY_PREFIX + upstream.value();
    }

    /**
     * Encodes a ledger.
     *
     * @param ledger the ledger
     * @return JSON in UTF-8
     */
    public static byte[] encode(UpstreamLedger ledger) {
        List<StoredResident> residents = ledger.residents().entrySet().stream()
                .map(entry -> new StoredResident(entry.getKey(), entry.getValue()))
                .toList();
        StoredLedger stored = new StoredLedger(
                ledger.upstream().value(),
                ledger.capacityBytes(),
                ledger.writer(),
                ledger.change(),
                ledger.incarnation(),
                ledger.sequence(),
                residents,
                ledger.orders().stream().map(LedgerCodec::stored).toList());
        try {
            return MAPPER.writeValueAsBytes(stored);
        } catch (JsonProcessingException exception) {
            throw PlacementErrors.unreadableRecord(key(ledger.upstream()), exception);
        }
    }

    /**
     * Decodes a ledger.
     *
     * @param key the key that it was read from, for messages
     * @param content JSON in UTF-8
     * @return the ledger
     * @throws org.pollenhoist.common.PollenhoistException with {@code INTERNAL} where the content has another form
     */
    public static UpstreamLedger decode(String key, byte[] content) {
        try {
            StoredLedger stored = MAPPER.readValue(content, StoredLedger.class);
            TreeMap<EngineItem, Long> residents = new TreeMap<>();
            stored.residents().forEach(resident -> residents.put(resident.item(), resident.bytes()));
            return new UpstreamLedger(
                    UpstreamName.of(stored.upstream()),
                    stored.capacityBytes(),
                    stored.writer(),
                    stored.change(),
                    stored.incarnation(),
                    stored.sequence(),
                    residents,
                    stored.orders().stream().map(LedgerCodec::restored).toList());
        } catch (IOException exception) {
            throw PlacementErrors.unreadableRecord(key, exception);
        }
    }

    private static StoredOrder stored(LedgerOrder order) {
        EngineOrder content = order.order();
        return new StoredOrder(
                content.identifier(),
                content.fencing(),
                content.action(),
                content.item(),
                content.bytes(),
                order.incarnation(),
                order.state());
    }

    private static LedgerOrder restored(StoredOrder stored) {
        EngineOrder order =
                new EngineOrder(stored.identifier(), stored.fencing(), stored.action(), stored.item(), stored.bytes());
        return new LedgerOrder(order, stored.incarnation(), stored.state());
    }

    private record StoredResident(EngineItem item, long bytes) {}

    private record StoredOrder(
            String identifier,
            long fencing,
            EngineOrder.Action action,
            EngineItem item,
            long bytes,
            String incarnation,
            LedgerOrder.State state) {}

    private record StoredLedger(
            String upstream,
            long capacityBytes,
            String writer,
            String change,
            String incarnation,
            long sequence,
            List<StoredResident> residents,
            List<StoredOrder> orders) {}
}
