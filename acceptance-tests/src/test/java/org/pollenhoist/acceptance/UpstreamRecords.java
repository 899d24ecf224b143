package org.pollenhoist.acceptance;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.pollenhoist.experiments.processes.Fleet;
import org.pollenhoist.experiments.processes.FleetMember;
import org.pollenhoist.experiments.processes.HttpCalls;

/** What the upstreams of a fleet have run. */
final class UpstreamRecords {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private UpstreamRecords() {}

    static List<JsonNode> ofServices(Fleet fleet, String marker) {
        return withMarker(fleet.services().stream(), marker);
    }

    static List<JsonNode> ofEngines(Fleet fleet, String marker) {
        return withMarker(fleet.engines().stream(), marker);
    }

    static List<JsonNode> ofAll(Fleet fleet, String text) {
        return withMarker(Stream.concat(fleet.engines().stream(), fleet.services().stream()), text);
    }

    private static List<JsonNode> withMarker(Stream<FleetMember> upstreams, String marker) {
        HttpCalls calls = new HttpCalls();
        List<JsonNode> found = new ArrayList<>();
        upstreams.forEach(upstream -> {
            String body = calls.require("GET", upstream.uri("/faults/records"), "");
            for (JsonNode entry : parse(body)) {
                if (entry.toString().contains(marker)) {
                    found.add(entry);
                }
            }
        });
        return found;
    }

    static JsonNode parse(String json) {
        try {
            return MAPPER.readTree(json);
        } catch (JsonProcessingException e) {
            throw new AssertionError("no JSON: " + json, e);
        }
    }
}
