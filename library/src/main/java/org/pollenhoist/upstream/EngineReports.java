package org.pollenhoist.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.pollenhoist.common.AdapterName;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.configuration.Upstream;
import org.pollenhoist.routing.UpstreamReport;
import ratpack.exec.ExecController;
import ratpack.exec.Promise;
import ratpack.http.client.HttpClient;

/** Reads engines' load reports. */
public final class EngineReports {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final Duration TIMEOUT = Duration.ofMillis(500);

    private static final String READY = "ready";

    private final HttpClient client;

    private EngineReports(HttpClient client) {
        this.client = client;
    }

    /**
     * Creates a reader.
     *
     * @param executions where its work runs
     * @return the reader
     * @throws Exception where Ratpack can't create its client
     */
    public static EngineReports create(ExecController executions) throws Exception {
        return new EngineReports(HttpClient.of(spec -> spec.execController(executions)
                .poolSize(1)
                .connectTimeout(TIMEOUT)
                .readTimeout(TIMEOUT)));
    }

    /**
     * Asks an engine for its report.
     *
     * @param engine the engine
     * @return its report; fails where none comes in time
     */
    public Promise<UpstreamReport> read(Upstream engine) {
        URI address = URI.create("http://" + engine.address() + ":" + engine.port() + "/control/report");
        return client.get(address).map(answer -> parse(engine, answer.getBody().getBytes()));
    }

    static UpstreamReport parse(Upstream engine, byte[] body) {
        JsonNode report;
        try {
            report = MAPPER.readTree(body);
        } catch (IOException malformed) {
            throw malformedReport(engine, malformed);
        }
        Set<ModelName> models = new HashSet<>();
        Set<AdapterName> adapters = new HashSet<>();
        for (JsonNode resident : report.path("residents")) {
            if (READY.equals(resident.path("state").asText())) {
                addResident(resident, models, adapters);
            }
        }
        return new UpstreamReport(
                engine.name(),
                report.path("incarnation").asLong(),
                report.path("running").asInt(),
                report.path("waiting").asInt(),
                report.path("memoryBytes").asLong() - report.path("usedBytes").asLong(),
                models,
                adapters,
                report.path("leaving").asBoolean(),
                Duration.ofMillis(report.path("ageMillis").asLong()));
    }

    private static void addResident(JsonNode resident, Set<ModelName> models, Set<AdapterName> adapters) {
        String name = resident.path("name").asText();
        switch (resident.path("kind").asText()) {
            case "model" -> models.add(ModelName.of(name));
            case "adapter" -> adapters.add(AdapterName.of(name));
            default -> {
                // A kind of resident that routing has no use for.
            }
        }
    }

    private static PollenhoistException malformedReport(Upstream engine, IOException cause) {
        return new PollenhoistException(
                ErrorCode.UPSTREAM_UNAVAILABLE, "the report of engine " + engine.name() + " is not JSON", cause);
    }
}
