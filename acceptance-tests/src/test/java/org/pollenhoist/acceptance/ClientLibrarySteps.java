package org.pollenhoist.acceptance;

import static org.assertj.core.api.Assertions.assertThat;

import com.openai.client.OpenAIClient;
import com.openai.client.okhttp.OpenAIOkHttpClient;
import com.openai.core.http.StreamResponse;
import com.openai.models.chat.completions.ChatCompletion;
import com.openai.models.chat.completions.ChatCompletionChunk;
import com.openai.models.chat.completions.ChatCompletionCreateParams;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.List;

/** Steps of a caller that uses an unmodified client library. */
public class ClientLibrarySteps {

    private static final long TOKENS = 12;

    private final List<String> pieces = new ArrayList<>();
    private String finishReason = "";

    @When("a client library asks {string} for a chat completion")
    public void complete(String model) {
        try (Client client = Client.open()) {
            ChatCompletion completion = client.library.chat().completions().create(question(model));
            pieces.add(completion.choices().get(0).message().content().orElse(""));
            finishReason = completion.choices().get(0).finishReason().asString();
            assertThat(completion.usage().orElseThrow().completionTokens()).isEqualTo(TOKENS);
        }
    }

    @When("a client library streams a chat completion of {string}")
    public void stream(String model) {
        try (Client client = Client.open();
                StreamResponse<ChatCompletionChunk> chunks =
                        client.library.chat().completions().createStreaming(question(model))) {
            readAll(chunks);
        }
    }

    @When("entry VM {string} is told to stop while a client library streams a chat completion of {string}")
    public void streamWhileStopping(String name, String model) {
        try (Client client = Client.open();
                StreamResponse<ChatCompletionChunk> chunks =
                        client.library.chat().completions().createStreaming(question(model))) {
            World.current().fleet().entry(name).process().signal("TERM");
            readAll(chunks);
        }
    }

    @Then("the whole answer belongs to its request")
    public void answerBelongs() {
        String text = String.join("", pieces);
        assertThat(text).startsWith(World.current().marker());
        assertThat(text.split(" ")).hasSize((int) TOKENS);
        assertThat(finishReason).isEqualTo("length");
    }

    @Then("it came in {int} pieces")
    public void cameInPieces(int count) {
        assertThat(pieces).hasSize(count);
    }

    private void readAll(StreamResponse<ChatCompletionChunk> chunks) {
        chunks.stream().flatMap(chunk -> chunk.choices().stream()).forEach(choice -> {
            choice.delta().content().ifPresent(pieces::add);
            choice.finishReason().ifPresent(reason -> finishReason = reason.asString());
        });
    }

    private static ChatCompletionCreateParams question(String model) {
        return ChatCompletionCreateParams.builder()
                .model(model)
                .maxCompletionTokens(TOKENS)
                .addUserMessage("Brief the skipper, marker=" + World.current().marker())
                .build();
    }

    private record Client(OpenAIClient library) implements AutoCloseable {

        static Client open() {
            World world = World.current();
            return new Client(OpenAIOkHttpClient.builder()
                    .baseUrl(world.firstEntry().uri("/v1").toString())
                    .apiKey(world.key())
                    .maxRetries(0)
                    .build());
        }

        @Override
        public void close() {
            library.close();
        }
    }
}
