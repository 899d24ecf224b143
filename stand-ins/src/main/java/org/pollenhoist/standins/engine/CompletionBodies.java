package org.pollenhoist.standins.engine;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.pollenhoist.standins.faults.Json;

/** The bodies of OpenAI-style answers to one prompt. */
final class CompletionBodies {

    private static final String FINISHED = "length";

    private final Prompt prompt;
    private final List<String> tokens;
    private final String identifier;
    private final long createdSeconds;

    CompletionBodies(Prompt prompt, long number, long createdSeconds) {
        this.prompt = prompt;
        this.tokens = prompt.answerTokens();
        this.identifier = (prompt.isChat() ? "chatcmpl-" : "cmpl-") + number;
        this.createdSeconds = createdSeconds;
    }

    int tokenCount() {
        return tokens.size();
    }

    String whole() {
        String text = String.join("", tokens);
        Choice choice = prompt.isChat()
                ? new Choice(0, new Message("assistant", text), null, null, FINISHED)
                : new Choice(0, null, null, text, FINISHED);
        String object = prompt.isChat() ? "chat.completion" : "text_completion";
        return Json.write(new Completion(identifier, object, createdSeconds, prompt.model(), List.of(choice), usage()));
    }

    /** Returns the server-sent event of one token. */
    String tokenEvent(int index) {
        String text = tokens.get(index);
        Message delta = new Message(index == 0 ? "assistant" : null, text);
        Choice choice =
                prompt.isChat() ? new Choice(0, null, delta, null, null) : new Choice(0, null, null, text, null);
        return event(Json.write(chunk(List.of(choice), null)));
    }

    /** Returns the server-sent events that end the answer. */
    String lastEvents() {
        Choice choice = prompt.isChat()
                ? new Choice(0, null, new Message(null, null), null, FINISHED)
                : new Choice(0, null, null, "", FINISHED);
        return event(Json.write(chunk(List.of(choice), null)))
                + event(Json.write(chunk(List.of(), usage())))
                + event("[DONE]");
    }

    private static String event(String data) {
        return "data: " + data + "\n\n";
    }

    private Completion chunk(List<Choice> choices, Usage usage) {
        String object = prompt.isChat() ? "chat.completion.chunk" : "text_completion";
        return new Completion(identifier, object, createdSeconds, prompt.model(), choices, usage);
    }

    private Usage usage() {
        return new Usage(prompt.promptTokens(), tokens.size(), prompt.promptTokens() + tokens.size());
    }

    private record Completion(
            String id,
            String object,
            long created,
            String model,
            List<Choice> choices,
            @JsonInclude(JsonInclude.Include.NON_NULL) Usage usage) {}

    private record Choice(
            int index,
            @JsonInclude(JsonInclude.Include.NON_NULL) Message message,
            @JsonInclude(JsonInclude.Include.NON_NULL) Message delta,
            @JsonInclude(JsonInclude.Include.NON_NULL) String text,
            @JsonProperty("finish_reason") String finishReason) {}

    @JsonInclude(JsonInclude.Include.NON_NULL)
    private record Message(String role, String content) {}

    private record Usage(
            @JsonProperty("prompt_tokens") int promptTokens,
            @JsonProperty("completion_tokens") int completionTokens,
            @JsonProperty("total_tokens") int totalTokens) {}
}
