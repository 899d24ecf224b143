package org.pollenhoist.standins.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.pollenhoist.standins.faults.BrokenAnswers;
import org.pollenhoist.standins.faults.CallCounts;
import org.pollenhoist.standins.faults.Json;
import org.pollenhoist.standins.platform.PlatformState.ValueList;
import org.pollenhoist.standins.platform.PlatformState.WriteResult;
import org.pollenhoist.standins.platform.VmEntry.VmList;
import org.pollenhoist.standins.platform.VmEntry.VmListChange;
import ratpack.exec.Downstream;
import ratpack.exec.Execution;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.http.Request;
import ratpack.util.MultiValueMap;

/** Answers the calls of the platform's service and of its faults. One lock guards the state, the faults and waiters. */
final class PlatformHandler implements Handler {

    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int TOO_LARGE = 413;
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;
    private static final String LEASES = "v1/leases";
    private static final String DOMAIN_HEADER = "X-Failure-Domain";
    private static final long LEASE_CHECK_MILLISECONDS = 20;

    private final long originNanoseconds = System.nanoTime();
    private final PlatformState state = new PlatformState();
    private final LaggingVmList vms = new LaggingVmList();
    private final CallCounts counts = new CallCounts();
    private final List<Waiter> waiters = new ArrayList<>();
    private PlatformFaults faults = PlatformFaults.none();
    private ValueList staleValues = new ValueList(0, List.of());
    private VmList staleVms = new VmList(List.of());

    @Override
    public void handle(Context context) {
        context.getRequest().getBody().then(body -> {
            if (context.getRequest().getPath().startsWith("faults")) {
                answerControl(context, body.getBytes());
            } else {
                answerUnderFaults(context, body.getBytes());
            }
        });
    }

    private void answerUnderFaults(Context context, byte[] body) {
        counts.add(kindOf(context.getRequest()));
        PlatformFaults current = currentFaults();
        String domain = context.getRequest().getHeaders().get(DOMAIN_HEADER);
        if (domain != null && current.cutDomains().contains(domain)) {
            BrokenAnswers.stayedSilent(context);
            return;
        }
        switch (current.outage()) {
            case SILENT -> BrokenAnswers.stayedSilent(context);
            case UNAVAILABLE -> Json.sendError(context, UNAVAILABLE, "the service has an outage");
            case NONE ->
                Execution.sleep(Duration.ofMillis(current.delayMilliseconds()), () -> answerCall(context, body));
        }
    }

    private void answerCall(Context context, byte[] body) {
        switch (kindOf(context.getRequest())) {
            case "read" -> read(context);
            case "list" -> Json.send(context, OK, list(context.getRequest()));
            case "write" -> write(context, body);
            case "remove" -> remove(context);
            case "watch" -> watch(context);
            case "lease-grant" -> grantLease(context, body);
            case "lease-renew" -> renewLease(context);
            case "lease-revoke" -> revokeLease(context);
            case "vms" -> Json.send(context, OK, listVms());
            default -> Json.sendError(context, NOT_FOUND, "no such call");
        }
    }

    private static String kindOf(Request request) {
        String call = request.getMethod().getName() + " " + request.getPath();
        if (request.getPath().startsWith(LEASES + "/")) {
            return request.getMethod().isDelete() ? "lease-revoke" : "lease-renew";
        }
        return switch (call) {
            case "GET v1/values" -> "read";
            case "GET v1/list" -> "list";
            case "PUT v1/values" -> "write";
            case "DELETE v1/values" -> "remove";
            case "GET v1/watch" -> "watch";
            case "POST v1/leases" -> "lease-grant";
            case "GET v1/vms" -> "vms";
            default -> "unknown";
        };
    }

    private void read(Context context) {
        Optional<PlatformState.Value> value;
        synchronized (state) {
            value = state.read(required(context, "key"), now());
        }
        if (value.isPresent()) {
            Json.send(context, OK, value.get());
        } else {
            Json.sendError(context, NOT_FOUND, "no such key");
        }
    }

    private ValueList list(Request request) {
        String prefix = request.getQueryParams().getOrDefault("prefix", "");
        synchronized (state) {
            if (!faults.staleLists()) {
                return state.list(prefix, now());
            }
            return new ValueList(
                    staleValues.revision(),
                    staleValues.values().stream()
                            .filter(value -> value.key().startsWith(prefix))
                            .toList());
        }
    }

    private void write(Context context, byte[] body) {
        byte[] content = Json.read(body, ContentBody.class).content();
        MultiValueMap<String, String> parameters = context.getRequest().getQueryParams();
        WriteResult result;
        synchronized (state) {
            result = state.write(
                    required(context, "key"),
                    Long.parseLong(required(context, "expectedVersion")),
                    content,
                    Optional.ofNullable(parameters.get("lease")),
                    now());
        }
        answerWrite(context, result);
    }

    private void remove(Context context) {
        WriteResult result;
        synchronized (state) {
            result =
                    state.remove(required(context, "key"), Long.parseLong(required(context, "expectedVersion")), now());
        }
        answerWrite(context, result);
    }

    private void answerWrite(Context context, WriteResult result) {
        wakeWaiters();
        if (takeLostAnswer()) {
            if (currentFaults().lostAnswerManner() == PlatformFaults.Manner.CLOSE) {
                BrokenAnswers.closed(context);
            } else {
                BrokenAnswers.stayedSilent(context);
            }
            return;
        }
        switch (result) {
            case WriteResult.Written written -> Json.send(context, OK, new VersionBody(written.version()));
            case WriteResult.Conflict conflict -> Json.send(context, CONFLICT, new VersionBody(conflict.version()));
            case WriteResult.TooLarge tooLarge ->
                Json.sendError(
                        context,
                        TOO_LARGE,
                        "value of " + tooLarge.actualBytes() + " bytes, at most " + PlatformState.MAXIMUM_VALUE_BYTES);
            case WriteResult.LeaseEnded ended ->
                Json.sendError(context, NOT_FOUND, "lease " + ended.lease() + " has ended");
        }
    }

    private boolean takeLostAnswer() {
        synchronized (state) {
            boolean isLost = faults.lostAnswers() != 0;
            faults = isLost ? faults.afterLostAnswer() : faults;
            return isLost;
        }
    }

    private void watch(Context context) {
        String prefix = context.getRequest().getQueryParams().getOrDefault("prefix", "");
        long after = Long.parseLong(required(context, "after"));
        Duration wait = Duration.ofMillis(Long.parseLong(required(context, "waitMillis")));
        Promise.<Optional<ValueList>>async(downstream -> {
                    Waiter waiter = new Waiter(prefix, after, now().plus(wait), downstream);
                    synchronized (state) {
                        waiters.add(waiter);
                    }
                    wakeWaiters();
                })
                .then(changed -> {
                    if (changed.isPresent()) {
                        Json.send(context, OK, changed.get());
                    } else {
                        context.getResponse().status(NO_CONTENT).send();
                    }
                });
    }

    /** Answers the watches whose wait has ended or below whose prefix something has changed. */
    void wakeWaiters() {
        List<Runnable> answers = new ArrayList<>();
        synchronized (state) {
            Duration now = now();
            for (Iterator<Waiter> iterator = waiters.iterator(); iterator.hasNext(); ) {
                Waiter waiter = iterator.next();
                Optional<ValueList> changed = state.revisionBelow(waiter.prefix(), now) > waiter.after()
                        ? Optional.of(state.list(waiter.prefix(), now))
                        : Optional.empty();
                if (changed.isPresent() || waiter.end().compareTo(now) <= 0) {
                    iterator.remove();
                    answers.add(() -> waiter.downstream().success(changed));
                }
            }
        }
        answers.forEach(Runnable::run);
    }

    /** Answers waiting watches until the process ends. */
    void wakeWaitersForever() {
        Thread.ofPlatform().daemon().name("watches").start(() -> {
            while (true) {
                try {
                    Thread.sleep(LEASE_CHECK_MILLISECONDS);
                } catch (InterruptedException e) {
                    return;
                }
                wakeWaiters();
            }
        });
    }

    private void grantLease(Context context, byte[] body) {
        Duration duration =
                Duration.ofMillis(Json.read(body, LeaseRequest.class).millis());
        String lease;
        synchronized (state) {
            lease = state.grantLease(duration, now());
        }
        Json.send(context, OK, new LeaseBody(lease));
    }

    private void renewLease(Context context) {
        String lease = leaseOf(context);
        boolean isAlive;
        synchronized (state) {
            isAlive = state.renewLease(lease, now());
        }
        if (isAlive) {
            Json.send(context, OK, new LeaseBody(lease));
        } else {
            Json.sendError(context, NOT_FOUND, "lease " + lease + " has ended");
        }
    }

    private void revokeLease(Context context) {
        String lease = leaseOf(context);
        synchronized (state) {
            state.endLease(lease, now());
        }
        wakeWaiters();
        Json.send(context, OK, new LeaseBody(lease));
    }

    private static String leaseOf(Context context) {
        return context.getRequest().getPath().substring(LEASES.length() + 1);
    }

    private VmList listVms() {
        synchronized (state) {
            return faults.staleLists() ? staleVms : vms.read(now());
        }
    }

    private void answerControl(Context context, byte[] body) {
        String call = context.getRequest().getMethod().getName() + " "
                + context.getRequest().getPath();
        switch (call) {
            case "GET faults" -> Json.send(context, OK, currentFaults());
            case "PUT faults" -> Json.send(context, OK, changeFaults(Json.read(body, PlatformFaults.class)));
            case "DELETE faults" -> Json.send(context, OK, changeFaults(PlatformFaults.none()));
            case "GET faults/counts" -> Json.send(context, OK, counts.read());
            case "DELETE faults/counts" -> {
                counts.clear();
                Json.send(context, OK, counts.read());
            }
            case "PUT faults/vms" -> {
                changeVms(Json.read(body, VmListChange.class));
                Json.send(context, OK, listVms());
            }
            default -> Json.sendError(context, BAD_REQUEST, "no such fault call: " + call);
        }
    }

    private PlatformFaults currentFaults() {
        synchronized (state) {
            return faults;
        }
    }

    private PlatformFaults changeFaults(PlatformFaults changed) {
        synchronized (state) {
            if (changed.staleLists() && !faults.staleLists()) {
                staleValues = state.list("", now());
                staleVms = vms.read(now());
            }
            faults = changed;
            return faults;
        }
    }

    private void changeVms(VmListChange change) {
        synchronized (state) {
            vms.change(new VmList(change.vms()), Duration.ofMillis(change.lagMilliseconds()), now());
        }
    }

    private Duration now() {
        return Duration.ofNanos(System.nanoTime() - originNanoseconds);
    }

    private static String required(Context context, String name) {
        String value = context.getRequest().getQueryParams().get(name);
        if (value == null) {
            throw new IllegalArgumentException("query parameter " + name + " is missing");
        }
        return value;
    }

    private record Waiter(
            String prefix, long after, Duration end, Downstream<? super Optional<ValueList>> downstream) {}

    @SuppressWarnings("ArrayRecordComponent")
    private record ContentBody(byte[] content) {}

    private record VersionBody(long version) {}

    private record LeaseRequest(long millis) {}

    private record LeaseBody(String lease) {}
}
