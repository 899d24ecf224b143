package org.pollenhoist.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.pollenhoist.standins.faults.ExecutionRecords;

/**
 * What a request asks an engine for.
 *
 * @param model the model or adapter
 * @param text the prompt: for a chat, a line {@code role:content} for each message
 * @param maximumTokens how many tokens to produce
 * @param isChat whether it came to the chat interface
 * @param isStream whether the answer is to be streamed
 */
record Prompt(String model, String text, int maximumTokens, boolean isChat, boolean isStream) {

    private static final int DEFAULT_TOKENS = 16;
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int PREFIX_CHARACTERS = 256;
    private static final int PREFIX_DIGITS = 16;
    private static final List<String> WORDS = List.of(
            "bait",
            "boat",
            "breeze",
            "bream",
            "cabin",
            "captain",
            "dawn",
            "deck",
            "garland",
            "harbour",
            "jasmine",
            "line",
            "marigold",
            "net",
            "pier",
            "quay",
            "reel",
            "rod",
            "rose",
            "sail",
            "shoal",
            "skipper",
            "tide",
            "trip",
            "tuberose",
            "wave",
            "wind");

    static Prompt of(JsonNode body, boolean isChat) {
        int tokens =
                body.path("max_completion_tokens").asInt(body.path("max_tokens").asInt(DEFAULT_TOKENS));
        return new Prompt(
                body.path("model").asText(),
                isChat ? chatText(body.path("messages")) : contentText(body.path("prompt")),
                Math.max(1, tokens),
                isChat,
                body.path("stream").asBoolean(false));
    }

    private static String chatText(JsonNode messages) {
        StringBuilder text = new StringBuilder();
        for (JsonNode message : messages) {
            text.append(message.path("role").asText())
                    .append(':')
                    .append(contentText(message.path("content")))
                    .append('\n');
        }
        return text.toString();
    }

    private static String contentText(JsonNode content) {
        if (!content.isArray()) {
            return content.asText();
        }
        StringBuilder text = new StringBuilder();
        for (JsonNode part : content) {
            text.append(part.isTextual() ? part.asText() : part.path("text").asText());
        }
        return text.toString();
    }

    /** Returns the digest under which the engine caches this prompt's beginning. */
    String prefix() {
        return digestOf(text.substring(0, Math.min(PREFIX_CHARACTERS, text.length())));
    }

    int promptTokens() {
        return Math.max(1, text.length() / CHARACTERS_PER_TOKEN);
    }

    /** Returns the answer's tokens, the same for the same prompt; the first is the request's marker. */
    List<String> answerTokens() {
        String marker = ExecutionRecords.markerOf(text.getBytes(StandardCharsets.UTF_8));
        int seed = text.hashCode();
        List<String> tokens = new ArrayList<>();
        tokens.add(marker.isEmpty() ? digestOf(text) : marker);
        for (int index = 1; index < maximumTokens; index++) {
            tokens.add(" " + WORDS.get(Math.floorMod(seed + index * index, WORDS.size())));
        }
        return tokens;
    }

    private static String digestOf(String text) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest).substring(0, PREFIX_DIGITS);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the virtual machine offers no SHA-256", e);
        }
    }
}
