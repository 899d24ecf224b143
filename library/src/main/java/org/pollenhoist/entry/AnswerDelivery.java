package org.pollenhoist.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.pollenhoist.caller.Refusal;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.request.StoredResponse;
import org.pollenhoist.upstream.UpstreamClient;
import ratpack.handling.Context;
import ratpack.http.Response;

/** Gives one caller its one answer. */
final class AnswerDelivery {

    private static final DecisionLog LOG = DecisionLog.of("caller");

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final EntryParts parts;

    private final Context context;

    private final String identifier;

    AnswerDelivery(EntryParts parts, Context context, String identifier) {
        this.parts = parts;
        this.context = context;
        this.identifier = identifier;
    }

    String identifier() {
        return identifier;
    }

    /** Lists the models of the sender's profile in the form that client libraries expect. */
    void sendModels(Identified identified) {
        ObjectNode list = MAPPER.createObjectNode().put("object", "list");
        ArrayNode models = list.putArray("data");
        identified.profile().orElseThrow().models().stream()
                .sorted()
                .forEach(model -> models.addObject()
                        .put("id", model.value())
                        .put("object", "model")
                        .put("created", 0)
                        .put("owned_by", "pollenhoist"));
        parts.metrics().countRequest("ok");
        Response response = prepared(200);
        response.contentType("application/json");
        response.send(list.toString().getBytes(StandardCharsets.UTF_8));
    }

    void deliver(FlowOutcome outcome) {
        switch (outcome) {
            case FlowOutcome.Whole whole -> send(whole.answer());
            case FlowOutcome.Streaming streaming -> stream(streaming);
            case FlowOutcome.Refused refused -> refuse(refused.refusal());
        }
    }

    private void send(StoredResponse answer) {
        parts.metrics().countRequest("ok");
        LOG.event("answer", "request", identifier, "status", answer.status());
        Response response = prepared(answer.status());
        answer.headers().forEach((name, value) -> response.getHeaders().set(name, value));
        response.getHeaders().set(UpstreamClient.IDENTIFIER_HEADER, identifier);
        response.send(answer.body().toByteArray());
    }

    private void stream(FlowOutcome.Streaming streaming) {
        parts.metrics().countRequest("ok");
        LOG.event(
                "answer", "request", identifier, "status", streaming.response().getStatusCode(), "streamed", true);
        Response response = prepared(streaming.response().getStatusCode());
        HeaderRules.toCaller(streaming.response().getHeaders())
                .forEach((name, value) -> response.getHeaders().set(name, value));
        response.getHeaders().set(UpstreamClient.IDENTIFIER_HEADER, identifier);
        response.sendStream(streaming.body());
    }

    void refuse(Refusal refusal) {
        parts.metrics().countRequest(refusal.code().text());
        LOG.event(
                "refuse",
                "request",
                identifier,
                "code",
                refusal.code().text(),
                "not_run",
                refusal.isNotRun(),
                "reason",
                refusal.message());
        Response response = prepared(refusal.status());
        response.contentType("application/json");
        refusal.retryAfterHeader().ifPresent(seconds -> response.getHeaders().set("Retry-After", seconds));
        response.send(refusal.body());
    }

    /** Once this VM stops, each answer tells its connection's end before its head is written. */
    private Response prepared(int status) {
        Response response = context.getResponse();
        response.status(status);
        response.noCompress();
        if (parts.isDraining().get()) {
            response.forceCloseConnection();
        }
        return response;
    }
}
