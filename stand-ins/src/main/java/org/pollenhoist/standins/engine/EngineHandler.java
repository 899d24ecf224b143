package org.pollenhoist.standins.engine;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.Channel;
import java.util.List;
import java.util.function.Consumer;
import org.pollenhoist.standins.engine.EngineModel.Submission;
import org.pollenhoist.standins.engine.EngineModel.Token;
import org.pollenhoist.standins.engine.EngineReport.Resident;
import org.pollenhoist.standins.faults.BrokenAnswers;
import org.pollenhoist.standins.faults.ExecutionRecord.State;
import org.pollenhoist.standins.faults.ExecutionRecords;
import org.pollenhoist.standins.faults.Json;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.http.Request;

/** Answers an engine's OpenAI-style interface, its control interface and its faults. */
final class EngineHandler implements Handler {

    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;
    private static final int NO_MEMORY = 507;
    private static final int EXIT_CODE = 1;
    private static final int DEFAULT_PRIORITY = 5;
    private static final long MILLISECONDS_PER_SECOND = 1000;
    private static final String JSON = "application/json";

    private final EngineRuns runs;
    private final String crashText;
    private final ExecutionRecords records = new ExecutionRecords();
    private volatile EngineFaults faults;

    EngineHandler(EngineModel model, String crashText) {
        this.runs = new EngineRuns(model);
        this.crashText = crashText;
        this.faults = EngineFaults.none(crashText);
    }

    @Override
    public void handle(Context context) {
        context.getRequest().getBody().then(body -> answer(context, body.getBytes()));
    }

    private void answer(Context context, byte[] body) {
        Request request = context.getRequest();
        switch (request.getMethod().getName() + " " + request.getPath()) {
            case "POST v1/chat/completions" -> complete(context, body, true);
            case "POST v1/completions" -> complete(context, body, false);
            case "GET v1/models" -> Json.send(context, OK, listModels());
            case "GET control/report" -> Json.send(context, OK, report());
            case "POST control/orders" -> takeOrder(context, Json.read(body, EngineOrder.class));
            case "GET control/cache-events" -> Json.send(context, OK, cacheEvents(request));
            case "GET faults" -> Json.send(context, OK, faults);
            case "PUT faults" -> changeFaults(context, Json.read(body, EngineFaults.class));
            case "DELETE faults" -> changeFaults(context, EngineFaults.none(crashText));
            case "GET faults/records" -> Json.send(context, OK, records.read());
            default -> Json.sendError(context, NOT_FOUND, "no such call");
        }
    }

    private void complete(Context context, byte[] body, boolean isChat) {
        EngineFaults current = faults;
        JsonNode tree = Json.readTree(body);
        Prompt prompt = Prompt.of(tree, isChat);
        boolean isReady = runs.ask(moment -> moment.model().isReady(prompt.model()));
        if (current.notRun() || !isReady) {
            context.getResponse().getHeaders().set("X-Not-Run", "true");
            String reason = isReady ? "turned away before it was run" : "model " + prompt.model() + " is not loaded";
            Json.sendError(context, UNAVAILABLE, reason);
            return;
        }
        long number = records.start(context.getRequest(), body);
        if (current.crashesOn(prompt.text())) {
            Runtime.getRuntime().halt(EXIT_CODE);
        }
        echoRequestIdentifier(context);
        Channel channel = context.getDirectChannelAccess().getChannel();
        channel.closeFuture().addListener(future -> {
            runs.cancel(Long.toString(number));
            records.end(number, State.CANCELLED);
        });
        long createdSeconds = System.currentTimeMillis() / MILLISECONDS_PER_SECOND;
        CompletionBodies bodies = new CompletionBodies(prompt, number, createdSeconds);
        Submission submission = new Submission(
                Long.toString(number), prompt.model(), prompt.prefix(), bodies.tokenCount(), priorityOf(context));
        if (prompt.isStream()) {
            stream(context, submission, bodies, current);
        } else {
            answerWhole(context, submission, bodies, current);
        }
    }

    private void answerWhole(Context context, Submission submission, CompletionBodies bodies, EngineFaults current) {
        Promise.<String>async(downstream -> runs.submit(submission, token -> {
                    if (token.isLast() && token.index() < current.stallAfterTokens()) {
                        finish(token);
                        downstream.success(bodies.whole());
                    }
                }))
                .then(answer -> {
                    if (current.halfAnswer()) {
                        BrokenAnswers.halfSent(context, JSON, answer);
                    } else {
                        context.getResponse().send(JSON, answer);
                    }
                });
    }

    private void stream(Context context, Submission submission, CompletionBodies bodies, EngineFaults current) {
        TokenStream stream = new TokenStream(context.getExecution().getEventLoop());
        Channel channel = context.getDirectChannelAccess().getChannel();
        Consumer<Token> listener = token -> {
            if (token.index() >= current.stallAfterTokens()) {
                return;
            }
            stream.send(bodies.tokenEvent(token.index()));
            if (current.halfAnswer() && token.index() + 1 >= bodies.tokenCount() / 2) {
                channel.eventLoop().execute(channel::close);
            } else if (token.isLast()) {
                finish(token);
                stream.send(bodies.lastEvents());
                stream.complete();
            }
        };
        context.getResponse().contentType("text/event-stream");
        context.getResponse().getHeaders().set("Cache-Control", "no-cache");
        context.getResponse().sendStream(stream);
        runs.submit(submission, listener);
    }

    private void finish(Token token) {
        records.end(Long.parseLong(token.identifier()), State.FINISHED);
    }

    private static void echoRequestIdentifier(Context context) {
        String identifier = context.getRequest().getHeaders().get("X-Request-Id");
        if (identifier != null) {
            context.getResponse().getHeaders().set("X-Request-Id", identifier);
        }
    }

    private static int priorityOf(Context context) {
        String priority = context.getRequest().getHeaders().get("X-Priority");
        return priority == null ? DEFAULT_PRIORITY : Integer.parseInt(priority.trim());
    }

    private EngineReport report() {
        return runs.ask(moment -> moment.model().report(faults.leaving(), moment.now()));
    }

    private ModelList listModels() {
        List<Resident> residents = runs.ask(moment -> moment.model().residents());
        return new ModelList(
                "list",
                residents.stream()
                        .filter(resident -> resident.state().equals("ready"))
                        .map(resident -> new ModelEntry(resident.name(), "model", 0, "stand-in"))
                        .toList());
    }

    private void takeOrder(Context context, EngineOrder order) {
        switch (runs.ask(moment -> moment.model().order(order, moment.now()))) {
            case EngineOrder.Answer.Accepted accepted -> Json.send(context, ACCEPTED, accepted);
            case EngineOrder.Answer.OldFencing old -> Json.send(context, CONFLICT, old);
            case EngineOrder.Answer.NoMemory none ->
                Json.sendError(context, NO_MEMORY, "order for " + order.bytes() + " bytes, free " + none.freeBytes());
        }
    }

    private CacheEvents cacheEvents(Request request) {
        long after = Long.parseLong(request.getQueryParams().getOrDefault("after", "0"));
        return new CacheEvents(runs.ask(moment -> moment.model().cacheEvents(after, moment.now())));
    }

    private void changeFaults(Context context, EngineFaults changed) {
        faults = changed;
        Json.send(context, OK, changed);
    }

    private record ModelList(String object, List<ModelEntry> data) {}

    private record ModelEntry(
            String id,
            String object,
            long created,
            @JsonProperty("owned_by") String ownedBy) {}

    private record CacheEvents(List<CacheEvent> events) {}
}
