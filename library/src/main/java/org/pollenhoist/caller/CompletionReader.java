package org.pollenhoist.caller;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.pollenhoist.common.AdapterName;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.PollenhoistException;

/** Reads the bodies of the OpenAI-style completion calls. */
public final class CompletionReader {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final int DEFAULT_COMPLETION_TOKENS = 1_024;

    private static final int MAXIMUM_COMPLETION_TOKENS = 1_000_000;

    private static final int MAXIMUM_CHOICES = 16;

    private static final double BYTES_PER_PROMPT_TOKEN = 4.0;

    private static final char ADAPTER_SEPARATOR = ':';

    private CompletionReader() {}

    /**
     * Reads a body.
     *
     * @param path the path of the interface
     * @param body the body as received
     * @return the call, with a bound on its tokens that the forwarded body states too
     * @throws RefusedException where it is malformed
     */
    public static CallerRequest.ModelCall read(String path, byte[] body) {
        ObjectNode request = parse(body);
        String modelText = requiredText(request, "model");
        int separator = modelText.indexOf(ADAPTER_SEPARATOR);
        String modelName = separator < 0 ? modelText : modelText.substring(0, separator);
        Optional<AdapterName> adapter =
                separator < 0 ? Optional.empty() : Optional.of(adapterName(modelText.substring(separator + 1)));
        int completionTokens = completionTokens(request);
        int choices = boundedInteger(request, "n", 1, MAXIMUM_CHOICES)
                .orElse(boundedInteger(request, "best_of", 1, MAXIMUM_CHOICES).orElse(1));
        String prompt = prompt(request);
        double promptTokens = Math.ceil(prompt.getBytes(StandardCharsets.UTF_8).length / BYTES_PER_PROMPT_TOKEN);
        return new CallerRequest.ModelCall(
                path,
                modelName(modelName),
                adapter,
                request.path("stream").asBoolean(false),
                promptTokens,
                (double) completionTokens * choices,
                prompt,
                request.toString().getBytes(StandardCharsets.UTF_8));
    }

    private static ObjectNode parse(byte[] body) {
        JsonNode parsed;
        try {
            parsed = MAPPER.readTree(body);
        } catch (JacksonException malformed) {
            throw invalid("the body is not JSON: " + malformed.getOriginalMessage());
        } catch (IOException impossible) {
            throw invalid("the body is not JSON");
        }
        if (!(parsed instanceof ObjectNode request)) {
            throw invalid("the body is not a JSON object");
        }
        return request;
    }

    private static int completionTokens(ObjectNode request) {
        Optional<Integer> asked = boundedInteger(request, "max_completion_tokens", 1, MAXIMUM_COMPLETION_TOKENS)
                .or(() -> boundedInteger(request, "max_tokens", 1, MAXIMUM_COMPLETION_TOKENS));
        if (asked.isEmpty()) {
            request.put("max_tokens", DEFAULT_COMPLETION_TOKENS);
        }
        return asked.orElse(DEFAULT_COMPLETION_TOKENS);
    }

    private static Optional<Integer> boundedInteger(ObjectNode request, String field, int minimum, int maximum) {
        JsonNode value = request.path(field);
        if (value.isMissingNode() || value.isNull()) {
            return Optional.empty();
        }
        if (!value.canConvertToInt()
                || !value.isIntegralNumber()
                || value.intValue() < minimum
                || value.intValue() > maximum) {
            throw invalid(field + " is " + value + ", expected a whole number from " + minimum + " to " + maximum);
        }
        return Optional.of(value.intValue());
    }

    private static String prompt(ObjectNode request) {
        JsonNode messages = request.path("messages");
        JsonNode prompt = request.path("prompt");
        if (messages.isMissingNode() && prompt.isMissingNode()) {
            throw invalid("neither messages nor prompt is given");
        }
        if (!messages.isMissingNode() && !messages.isArray()) {
            throw invalid("messages is no array");
        }
        return messages.isMissingNode() ? prompt.toString() : messages.toString();
    }

    private static String requiredText(ObjectNode request, String field) {
        JsonNode value = request.path(field);
        if (!value.isTextual() || value.textValue().isEmpty()) {
            throw invalid(field + " is " + (value.isMissingNode() ? "missing" : value) + ", expected a text");
        }
        return value.textValue();
    }

    private static ModelName modelName(String text) {
        try {
            return ModelName.of(text);
        } catch (PollenhoistException malformed) {
            throw RefusedException.of(Refusal.notRun(ErrorCode.NOT_FOUND, "there is no model '" + text + "'"));
        }
    }

    private static AdapterName adapterName(String text) {
        try {
            return AdapterName.of(text);
        } catch (PollenhoistException malformed) {
            throw RefusedException.of(Refusal.notRun(ErrorCode.NOT_FOUND, "there is no adapter '" + text + "'"));
        }
    }

    private static RefusedException invalid(String message) {
        return RefusedException.of(Refusal.notRun(ErrorCode.INVALID_REQUEST, message));
    }
}
