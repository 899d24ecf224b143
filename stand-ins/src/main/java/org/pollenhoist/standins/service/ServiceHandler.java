package org.pollenhoist.standins.service;

import java.time.Duration;
import org.pollenhoist.standins.faults.BrokenAnswers;
import org.pollenhoist.standins.faults.ExecutionRecord.State;
import org.pollenhoist.standins.faults.ExecutionRecords;
import org.pollenhoist.standins.faults.Json;
import ratpack.exec.Execution;
import ratpack.handling.Context;
import ratpack.handling.Handler;

/** Runs any request once for each time that it comes, and records it. */
final class ServiceHandler implements Handler {

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;
    private static final int EXIT_CODE = 1;

    private final String name;
    private final ExecutionRecords records = new ExecutionRecords();
    private volatile ServiceFaults faults = ServiceFaults.none();

    ServiceHandler(String name) {
        this.name = name;
    }

    @Override
    public void handle(Context context) {
        context.getRequest().getBody().then(body -> {
            if (context.getRequest().getPath().startsWith("faults")) {
                answerControl(context, body.getBytes());
            } else {
                run(context, body.getBytes());
            }
        });
    }

    private void run(Context context, byte[] body) {
        ServiceFaults current = faults;
        if (current.notRun()) {
            context.getResponse().getHeaders().set("X-Not-Run", "true");
            Json.sendError(context, UNAVAILABLE, "turned away before it was run");
            return;
        }
        if (current.dieBefore()) {
            Runtime.getRuntime().halt(EXIT_CODE);
        }
        long number = records.start(context.getRequest(), body);
        context.getDirectChannelAccess()
                .getChannel()
                .closeFuture()
                .addListener(future -> records.end(number, State.CANCELLED));
        Execution.sleep(Duration.ofMillis(current.delayMilliseconds()), () -> finish(context, body, number, current));
    }

    private void finish(Context context, byte[] body, long number, ServiceFaults current) {
        records.end(number, State.FINISHED);
        if (current.dieAfter()) {
            Runtime.getRuntime().halt(EXIT_CODE);
        }
        String requestIdentifier = context.getRequest().getHeaders().get("X-Request-Id");
        if (requestIdentifier != null) {
            context.getResponse().getHeaders().set("X-Request-Id", requestIdentifier);
        }
        Answer answer = new Answer(
                name,
                number,
                context.getRequest().getMethod().getName(),
                context.getRequest().getRawUri(),
                ExecutionRecords.markerOf(body));
        if (current.halfAnswer()) {
            BrokenAnswers.halfSent(context, "application/json", Json.write(answer));
        } else {
            Json.send(context, OK, answer);
        }
    }

    private void answerControl(Context context, byte[] body) {
        String call = context.getRequest().getMethod().getName() + " "
                + context.getRequest().getPath();
        switch (call) {
            case "GET faults" -> Json.send(context, OK, faults);
            case "PUT faults" -> {
                faults = Json.read(body, ServiceFaults.class);
                Json.send(context, OK, faults);
            }
            case "DELETE faults" -> {
                faults = ServiceFaults.none();
                Json.send(context, OK, faults);
            }
            case "GET faults/records" -> Json.send(context, OK, records.read());
            default -> Json.sendError(context, BAD_REQUEST, "no such fault call: " + call);
        }
    }

    private record Answer(String service, long execution, String method, String path, String marker) {}
}
