package org.pollenhoist.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.PollenhoistException;

/** The JSON bodies that engines and the system exchange. */
final class EngineMessages {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private EngineMessages() {}

    static EngineReport report(byte[] content) {
        try {
            JsonNode json = MAPPER.readTree(content);
            List<EngineReport.Resident> residents = new ArrayList<>();
            json.path("residents").forEach(node -> residents.add(resident(node)));
            List<EngineReport.ReportedOrder> orders = new ArrayList<>();
            json.path("orders").forEach(node -> orders.add(order(node)));
            return new EngineReport(
                    json.path("engine").asText(),
                    json.path("incarnation").asText(),
                    json.path("sequence").asLong(),
                    Duration.ofMillis(json.path("ageMillis").asLong()),
                    json.path("running").asInt(),
                    json.path("waiting").asInt(),
                    json.path("memoryBytes").asLong(),
                    json.path("usedBytes").asLong(),
                    json.path("leaving").asBoolean(),
                    residents,
                    orders,
                    json.path("highestFencing").asLong());
        } catch (IOException | IllegalArgumentException exception) {
            throw new PollenhoistException(
                    ErrorCode.UPSTREAM_UNAVAILABLE, "engine report is not readable: " + exception.getMessage());
        }
    }

    private static EngineReport.Resident resident(JsonNode node) {
        EngineItem item = new EngineItem(
                EngineItem.Kind.valueOf(upper(node, "kind")),
                node.path("name").asText(),
                node.path("version").asText());
        EngineReport.ResidentState state = EngineReport.ResidentState.valueOf(upper(node, "state"));
        return new EngineReport.Resident(item, node.path("bytes").asLong(), state);
    }

    private static EngineReport.ReportedOrder order(JsonNode node) {
        return new EngineReport.ReportedOrder(
                node.path("orderId").asText(), EngineReport.OrderState.valueOf(upper(node, "state")));
    }

    private static String upper(JsonNode node, String field) {
        return node.path(field).asText().toUpperCase(Locale.ROOT);
    }

    static byte[] order(EngineOrder order) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("orderId", order.identifier());
        json.put("fencing", order.fencing());
        json.put("action", order.action().name().toLowerCase(Locale.ROOT));
        json.put("kind", order.item().kind().name().toLowerCase(Locale.ROOT));
        json.put("name", order.item().name());
        json.put("version", order.item().version());
        json.put("bytes", order.bytes());
        try {
            return MAPPER.writeValueAsBytes(json);
        } catch (JsonProcessingException exception) {
            throw new PollenhoistException(ErrorCode.INTERNAL, "order can't be written as JSON", exception);
        }
    }

    static long highestFencing(byte[] content) {
        try {
            return MAPPER.readTree(content).path("highestFencing").asLong();
        } catch (IOException exception) {
            return 0;
        }
    }
}
