package org.pollenhoist.entry;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.UUID;
import org.pollenhoist.caller.CallerRequest;
import org.pollenhoist.caller.CompletionReader;
import org.pollenhoist.caller.KeyScrubber;
import org.pollenhoist.caller.Refusal;
import org.pollenhoist.caller.RefusedException;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.configuration.Model;
import org.pollenhoist.configuration.Profile;
import org.pollenhoist.configuration.Route;
import org.pollenhoist.request.RequestFingerprint;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.http.Request;

/** Takes callers' requests in: who, what, how much, then to the upstreams and back. */
final class CallerHandler implements Handler {

    private static final DecisionLog LOG = DecisionLog.of("caller");

    private static final String PROFILE_HEADER = "X-Pollenhoist-Profile";

    private static final Duration OPEN_ROUTE_DEADLINE = Duration.ofSeconds(30);

    /** Lets the deadline end a request before the connection's idle timeout does. */
    private static final Duration IDLE_MARGIN = Duration.ofSeconds(30);

    private final EntryParts parts;

    CallerHandler(EntryParts parts) {
        this.parts = parts;
    }

    @Override
    public void handle(Context context) {
        MonotonicTime arrival = MonotonicTime.read();
        AnswerDelivery delivery =
                new AnswerDelivery(parts, context, UUID.randomUUID().toString());
        Promise.sync(() -> identify(context, arrival))
                .onError(failure -> delivery.refuse(refusalFor(failure)))
                .then(identified -> receive(context, identified, delivery, arrival));
    }

    private void receive(Context context, Identified identified, AnswerDelivery delivery, MonotonicTime arrival) {
        if (identified.target() instanceof Identified.Target.ModelList) {
            delivery.sendModels(identified);
            return;
        }
        read(context)
                .map(body -> flow(context, delivery.identifier(), identified, body, arrival))
                .onError(failure -> delivery.refuse(refusalFor(failure)))
                .then(flow -> proceed(context, flow, delivery, arrival));
    }

    private Identified identify(Context context, MonotonicTime now) {
        InForce inForce = parts.configuration()
                .get()
                .orElseThrow(() -> RefusedException.of(Refusal.notRunRetryAfter(
                        ErrorCode.NOT_READY, "this VM has no configuration yet", Duration.ofSeconds(1))));
        Request request = context.getRequest();
        Identification.Shown shown = new Identification.Shown(
                request.getMethod().getName().toUpperCase(Locale.ROOT),
                rawPath(request),
                Optional.ofNullable(request.getHeaders().get("Authorization")),
                Optional.ofNullable(request.getHeaders().get(PROFILE_HEADER)));
        return Identification.identify(inForce, shown, parts.sinceContact().apply(now));
    }

    private static String rawPath(Request request) {
        String uri = request.getRawUri();
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    private Promise<byte[]> read(Context context) {
        int maximum = parts.settings().callers().maximumBodyBytes();
        return context.getRequest()
                .getBody(maximum, () -> {
                    throw RefusedException.of(Refusal.notRun(
                            ErrorCode.REQUEST_TOO_LARGE, "the body holds more than " + maximum + " bytes"));
                })
                .map(body -> body.getBytes());
    }

    private Flow flow(Context context, String identifier, Identified identified, byte[] body, MonotonicTime arrival) {
        Request received = context.getRequest();
        KeyScrubber scrubber =
                KeyScrubber.of(Optional.ofNullable(received.getHeaders().get("Authorization"))
                        .map(value -> value.replaceFirst("^Bearer ", "").trim())
                        .filter(key -> !key.isEmpty()));
        String method = received.getMethod().getName().toUpperCase(Locale.ROOT);
        CallerRequest request = switch (identified.target()) {
            case Identified.Target.Completion completion ->
                allowed(identified, CompletionReader.read(completion.path(), body));
            case Identified.Target.Service service -> serviceCall(received, scrubber, service.route(), body);
            case Identified.Target.ModelList list ->
                throw RefusedException.of(
                        Refusal.notRun(ErrorCode.INTERNAL, "the model list is no request to upstreams"));
        };
        String fingerprintPath = rawPath(received);
        Duration deadline = identified.profile().map(Profile::deadline).orElse(OPEN_ROUTE_DEADLINE);
        received.setIdleTimeout(deadline.plus(IDLE_MARGIN));
        return new Flow(
                identifier,
                identified,
                request,
                HeaderRules.toUpstream(received.getHeaders(), scrubber, identified.priority()),
                RequestFingerprint.of(method, fingerprintPath, request.body()),
                arrival.plus(deadline));
    }

    private static CallerRequest.ModelCall allowed(Identified identified, CallerRequest.ModelCall call) {
        Model model = identified.configuration().models().get(call.model());
        if (model == null) {
            throw RefusedException.of(Refusal.notRun(ErrorCode.NOT_FOUND, "there is no model '" + call.model() + "'"));
        }
        Profile profile = identified.profile().orElseThrow();
        if (!profile.models().contains(call.model())) {
            throw RefusedException.of(Refusal.notRun(
                    ErrorCode.FORBIDDEN, "profile " + profile.name() + " may not use model " + call.model()));
        }
        boolean isUnknownAdapter = call.adapter()
                .filter(adapter -> !model.adapters().contains(adapter))
                .isPresent();
        if (isUnknownAdapter) {
            throw RefusedException.of(Refusal.notRun(
                    ErrorCode.NOT_FOUND,
                    "model " + call.model() + " has no adapter '"
                            + call.adapter().orElseThrow() + "'"));
        }
        return call;
    }

    private static CallerRequest.ServiceCall serviceCall(
            Request received, KeyScrubber scrubber, Route route, byte[] body) {
        String path = rawPath(received);
        if (scrubber.holdsKey(path)) {
            throw RefusedException.of(
                    Refusal.notRun(ErrorCode.INVALID_REQUEST, "the path holds a key, expected it in Authorization"));
        }
        String query = scrubber.cleanQuery(rawQuery(received));
        String method = received.getMethod().getName().toUpperCase(Locale.ROOT);
        return new CallerRequest.ServiceCall(
                route.name(),
                method,
                query.isEmpty() ? path : path + "?" + query,
                route.idempotentMethods().contains(method),
                Optional.ofNullable(received.getHeaders().get("Idempotency-Key")),
                route.tokensPerRequest(),
                body);
    }

    private static String rawQuery(Request request) {
        String uri = request.getRawUri();
        int query = uri.indexOf('?');
        return query < 0 ? "" : uri.substring(query + 1);
    }

    private void proceed(Context context, Flow flow, AnswerDelivery delivery, MonotonicTime arrival) {
        EventLoop eventLoop = context.getDirectChannelAccess().getChannel().eventLoop();
        FlowRunner runner = new FlowRunner(parts, flow, eventLoop);
        context.getDirectChannelAccess().getChannel().closeFuture().addListener(closed -> runner.callerGone());
        runner.run(arrival)
                .onError(failure -> delivery.refuse(refusalFor(failure)))
                .then(delivery::deliver);
    }

    static Refusal refusalFor(Throwable failure) {
        if (failure instanceof RefusedException refused) {
            return refused.refusal();
        }
        LOG.event("fault", "reason", failure);
        return Refusal.outcomeUnknown(ErrorCode.INTERNAL, "a fault of this software");
    }
}
