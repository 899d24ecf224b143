package org.pollenhoist.standins.faults;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import ratpack.handling.Context;

/** Reads and writes the JSON bodies of the stand-ins. */
public final class Json {

    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    private static final String CONTENT_TYPE = "application/json";

    private Json() {}

    /**
     * Reads a body.
     *
     * @param body the bytes
     * @param type what they hold
     * @return the value
     * @param <T> the value's type
     */
    public static <T> T read(byte[] body, Class<T> type) {
        try {
            return MAPPER.readValue(body, type);
        } catch (IOException e) {
            throw new UncheckedIOException("body is no " + type.getSimpleName() + ": " + e.getMessage(), e);
        }
    }

    /**
     * Reads a body of any form.
     *
     * @param body the bytes
     * @return the tree of values
     */
    public static JsonNode readTree(byte[] body) {
        return read(body, JsonNode.class);
    }

    /**
     * Writes a value.
     *
     * @param value the value
     * @return its JSON text
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Answers a call.
     *
     * @param context the call
     * @param status HTTP status
     * @param value the answer's body
     */
    public static void send(Context context, int status, Object value) {
        context.getResponse().status(status).send(CONTENT_TYPE, write(value));
    }

    /**
     * Answers a call with an error in the OpenAI-style form.
     *
     * @param context the call
     * @param status HTTP status
     * @param message what is wrong
     */
    public static void sendError(Context context, int status, String message) {
        send(context, status, new ErrorBody(new ErrorDetail(message, status)));
    }

    private record ErrorBody(ErrorDetail error) {}

    private record ErrorDetail(String message, int code) {}
}
