package org.pollenhoist.experiments.report;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.UncheckedIOException;
import java.util.List;
import org.pollenhoist.experiments.ExperimentResult;
import org.pollenhoist.experiments.ExperimentResult.Measure;

/** Writes a result as JSON. */
public final class ResultJson {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ResultJson() {}

    /**
     * Writes a result.
     *
     * @param result the result
     * @return JSON with the experiment, seed, length in seconds and the measures
     */
    public static String write(ExperimentResult result) {
        try {
            Document document = new Document(
                    result.experiment(), result.seed(), result.length().toSeconds(), result.measures());
            return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(document) + "\n";
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    private record Document(String experiment, long seed, long lengthSeconds, List<Measure> measures) {}
}
