package org.pollenhoist.vm;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.VmName;
import org.pollenhoist.request.IdempotencyTable;
import org.pollenhoist.request.OutcomeInquiry;
import org.pollenhoist.request.OutcomeRegistry;
import org.pollenhoist.request.RegistrarResponse;
import org.pollenhoist.request.RequestFingerprint;
import org.pollenhoist.request.Standing;
import org.pollenhoist.request.StoredResponse;
import org.pollenhoist.vm.generated.Frame;
import org.pollenhoist.vm.generated.OutcomeAnswer;
import org.pollenhoist.vm.generated.OutcomeQuery;
import org.pollenhoist.vm.generated.OutcomeRecords;
import org.pollenhoist.vm.generated.OutcomeRecordsRequest;

/**
 * Carries registrations of requests with idempotency keys between VMs. A lost message ends in "not known", never in a
 * second run.
 */
public final class OutcomeExchange implements PeerListener {

    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(500);

    /** After this time all VMs have noticed a new one, and what they registered without it has arrived. */
    private static final Duration BEFORE_TAKE_OVER = Duration.ofSeconds(2);

    private static final int RECORDS_PER_FRAME = 500;

    private final Peer self;
    private final PeerMessenger messenger;
    private final OutcomeRegistry registry;
    private final IdempotencyTable table;
    private final Supplier<? extends Collection<FailureDomain>> failureDomains;
    private final Map<VmName, FailureDomain> domainByPeer = new ConcurrentHashMap<>();
    private final Map<Long, CompletableFuture<OutcomeAnswer>> pending = new ConcurrentHashMap<>();
    private final AtomicLong nextQuery = new AtomicLong(1);

    /**
     * Creates the exchange of one process; it is to be added to the mesh as a listener.
     *
     * @param self this process
     * @param messenger the way to the peers
     * @param registry this process's registry
     * @param table this process's own requests, whose answers other VMs may ask for
     * @param failureDomains all failure domains of the configuration in force
     */
    public OutcomeExchange(
            Peer self,
            PeerMessenger messenger,
            OutcomeRegistry registry,
            IdempotencyTable table,
            Supplier<? extends Collection<FailureDomain>> failureDomains) {
        this.self = self;
        this.messenger = messenger;
        this.registry = registry;
        this.table = table;
        this.failureDomains = failureDomains;
    }

    /**
     * Asks a key's registrars whether its request may run, and registers it.
     *
     * @param digest the key's digest
     * @param request the request's fingerprint
     * @param registration tells this process's registrations apart
     * @param now the present time
     * @return completes with what follows, never exceptionally, after half a second at the latest
     */
    public CompletableFuture<OutcomeInquiry.Verdict> register(
            RequestFingerprint digest, RequestFingerprint request, long registration, MonotonicTime now) {
        List<VmName> registrars = registrars(digest);
        OutcomeQuery query = query(digest, registration, OutcomeQuery.Purpose.REGISTER)
                .setRequestFingerprint(OutcomeMessages.bytes(request))
                .build();
        List<CompletableFuture<Optional<RegistrarResponse>>> answers = new ArrayList<>();
        for (VmName registrar : registrars) {
            answers.add(
                    registrar.equals(self.vm())
                            ? CompletableFuture.completedFuture(
                                    Optional.of(registry.register(digest, request, runner(self, registration), now)))
                            : ask(registrar, query).thenApply(answer -> answer.map(OutcomeMessages::fromMessage)));
        }
        return CompletableFuture.allOf(answers.toArray(CompletableFuture<?>[]::new))
                .thenApply(all -> OutcomeInquiry.conclude(
                        registrars.size(),
                        answers.stream()
                                .flatMap(answer -> answer.join().stream())
                                .toList()));
    }

    /**
     * Tells a key's registrars how a request that this process registered has ended.
     *
     * @param digest the key's digest
     * @param registration the registration
     * @param state FINISHED, OUTCOME_LOST, or NEVER_SEEN where it is proved that the request did not run
     */
    public void ended(RequestFingerprint digest, long registration, RegistrarResponse.State state) {
        OutcomeQuery.Purpose purpose = switch (state) {
            case FINISHED -> OutcomeQuery.Purpose.FINISHED;
            case NEVER_SEEN -> OutcomeQuery.Purpose.NOT_RUN;
            case RUNNING, OUTCOME_LOST, OTHER_REQUEST -> OutcomeQuery.Purpose.OUTCOME_LOST;
        };
        Frame frame = frame(query(digest, registration, purpose).build());
        for (VmName registrar : registrars(digest)) {
            if (registrar.equals(self.vm())) {
                registry.ended(digest, runner(self, registration), state);
            } else {
                messenger.send(registrar, frame);
            }
        }
    }

    /**
     * Asks the VM that ran a request for its answer.
     *
     * @param digest the key's digest
     * @param runner the process that ran it
     * @return completes with the answer, or empty where none is kept or the VM does not answer; never exceptionally
     */
    public CompletableFuture<Optional<StoredResponse>> fetch(
            RequestFingerprint digest, RegistrarResponse.Runner runner) {
        OutcomeQuery query = query(digest, 0, OutcomeQuery.Purpose.FETCH).build();
        return ask(runner.vm(), query).thenApply(answer -> answer.flatMap(OutcomeMessages::answerOf));
    }

    /**
     * Tells whether a process can still be reached.
     *
     * @param runner the process
     * @return false where its VM is not connected
     */
    public boolean isConnected(RegistrarResponse.Runner runner) {
        return runner.vm().equals(self.vm()) || messenger.connectedPeers().contains(runner.vm());
    }

    @Override
    public void onConnected(Peer peer, MonotonicTime now) {
        domainByPeer.put(peer.vm(), peer.failureDomain());
        if (!peer.failureDomain().equals(self.failureDomain())) {
            return;
        }
        registry.memberSeen(peer.vm(), now);
        Executor later = CompletableFuture.delayedExecutor(BEFORE_TAKE_OVER.toMillis(), TimeUnit.MILLISECONDS);
        Frame request = Frame.newBuilder()
                .setOutcomeRecordsRequest(OutcomeRecordsRequest.getDefaultInstance())
                .build();
        later.execute(() -> messenger.send(peer.vm(), request));
    }

    @Override
    public void onFrame(Peer sender, Frame frame, MonotonicTime now) {
        switch (frame.getBodyCase()) {
            case OUTCOME_QUERY -> answer(sender, frame.getOutcomeQuery(), now);
            case OUTCOME_ANSWER -> {
                CompletableFuture<OutcomeAnswer> waiting =
                        pending.remove(frame.getOutcomeAnswer().getQuery());
                if (waiting != null) {
                    waiting.complete(frame.getOutcomeAnswer());
                }
            }
            case OUTCOME_RECORDS_REQUEST -> sendRecords(sender, now);
            case OUTCOME_RECORDS -> takeOver(sender, frame.getOutcomeRecords(), now);
            default -> {
                // Other listeners take the other frames.
            }
        }
    }

    private void answer(Peer sender, OutcomeQuery query, MonotonicTime now) {
        RequestFingerprint digest = OutcomeMessages.fingerprint(query.getIdempotencyDigest());
        RegistrarResponse.Runner runner = runner(sender, query.getRegistration());
        switch (query.getPurpose()) {
            case REGISTER -> {
                RequestFingerprint request = OutcomeMessages.fingerprint(query.getRequestFingerprint());
                reply(sender, query, OutcomeMessages.toMessage(registry.register(digest, request, runner, now)));
            }
            case FETCH ->
                reply(
                        sender,
                        query,
                        table.find(digest).map(OutcomeMessages::toMessage).orElseGet(OutcomeAnswer::newBuilder));
            case FINISHED -> registry.ended(digest, runner, RegistrarResponse.State.FINISHED);
            case NOT_RUN -> registry.ended(digest, runner, RegistrarResponse.State.NEVER_SEEN);
            case OUTCOME_LOST, UNRECOGNIZED -> registry.ended(digest, runner, RegistrarResponse.State.OUTCOME_LOST);
        }
    }

    private void reply(Peer receiver, OutcomeQuery query, OutcomeAnswer.Builder answer) {
        messenger.send(
                receiver.vm(),
                Frame.newBuilder()
                        .setOutcomeAnswer(answer.setQuery(query.getQuery()))
                        .build());
    }

    private void sendRecords(Peer receiver, MonotonicTime now) {
        Standing standing = registry.standing(now);
        List<org.pollenhoist.request.OutcomeRecord> records = registry.records();
        for (int from = 0; from == 0 || from < records.size(); from += RECORDS_PER_FRAME) {
            int to = Math.min(records.size(), from + RECORDS_PER_FRAME);
            OutcomeRecords.Builder part = OutcomeRecords.newBuilder()
                    .setStanding(OutcomeRecords.Standing.valueOf(standing.name()))
                    .setLast(to == records.size());
            records.subList(from, to).forEach(record -> part.addRecords(OutcomeMessages.toMessage(record, now)));
            messenger.send(
                    receiver.vm(), Frame.newBuilder().setOutcomeRecords(part).build());
        }
    }

    /** The frames of one connection arrive in order, so that the last part shows that all have come. */
    private void takeOver(Peer sender, OutcomeRecords part, MonotonicTime now) {
        Standing standing = switch (part.getStanding()) {
            case WHOLE -> part.getLast() ? Standing.WHOLE : Standing.PARTIAL;
            case NEW -> Standing.NEW;
            case PARTIAL, UNRECOGNIZED -> Standing.PARTIAL;
        };
        List<org.pollenhoist.request.OutcomeRecord> records = part.getRecordsList().stream()
                .map(record -> OutcomeMessages.fromMessage(record, now))
                .toList();
        registry.takeOver(sender.vm(), records, standing);
    }

    private List<VmName> registrars(RequestFingerprint digest) {
        Collection<FailureDomain> domains = failureDomains.get();
        if (domains.isEmpty()) {
            return List.of();
        }
        FailureDomain home = OutcomeInquiry.home(digest, domains);
        Set<VmName> connected = messenger.connectedPeers();
        List<VmName> members = new ArrayList<>();
        connected.stream().filter(peer -> home.equals(domainByPeer.get(peer))).forEach(members::add);
        if (home.equals(self.failureDomain())) {
            members.add(self.vm());
        }
        return OutcomeInquiry.registrars(digest, members);
    }

    private CompletableFuture<Optional<OutcomeAnswer>> ask(VmName receiver, OutcomeQuery query) {
        long number = nextQuery.getAndIncrement();
        CompletableFuture<OutcomeAnswer> waiting = new CompletableFuture<>();
        pending.put(number, waiting);
        messenger.send(receiver, frame(query.toBuilder().setQuery(number).build()));
        return waiting.thenApply(Optional::of)
                .completeOnTimeout(Optional.empty(), ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((answer, failure) -> pending.remove(number));
    }

    private static OutcomeQuery.Builder query(
            RequestFingerprint digest, long registration, OutcomeQuery.Purpose purpose) {
        return OutcomeQuery.newBuilder()
                .setIdempotencyDigest(OutcomeMessages.bytes(digest))
                .setRegistration(registration)
                .setPurpose(purpose);
    }

    private static Frame frame(OutcomeQuery query) {
        return Frame.newBuilder().setOutcomeQuery(query).build();
    }

    private static RegistrarResponse.Runner runner(Peer process, long registration) {
        return new RegistrarResponse.Runner(process.vm(), process.incarnation(), registration);
    }
}
