package org.pollenhoist.vm;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Optional;
import java.util.TreeMap;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.VmName;
import org.pollenhoist.request.OutcomeRecord;
import org.pollenhoist.request.RegistrarResponse;
import org.pollenhoist.request.RequestFingerprint;
import org.pollenhoist.request.StoredResponse;
import org.pollenhoist.vm.generated.OutcomeAnswer;

/** Translates between the registry's data and its messages. */
final class OutcomeMessages {

    private OutcomeMessages() {}

    static ByteString bytes(RequestFingerprint fingerprint) {
        return ByteString.copyFrom(fingerprint.toBytes());
    }

    static RequestFingerprint fingerprint(ByteString bytes) {
        return RequestFingerprint.parse(bytes.toByteArray());
    }

    static OutcomeAnswer.Builder toMessage(RegistrarResponse answer) {
        OutcomeAnswer.Builder message =
                OutcomeAnswer.newBuilder().setOutcome(outcome(answer.state())).setVouches(answer.vouches());
        answer.runner()
                .ifPresent(runner -> message.setRunnerVm(runner.vm().value())
                        .setRunnerIncarnation(runner.incarnation())
                        .setRunnerRegistration(runner.registration()));
        return message;
    }

    static RegistrarResponse fromMessage(OutcomeAnswer message) {
        Optional<RegistrarResponse.Runner> runner = message.getRunnerVm().isEmpty()
                ? Optional.empty()
                : Optional.of(new RegistrarResponse.Runner(
                        VmName.of(message.getRunnerVm()),
                        message.getRunnerIncarnation(),
                        message.getRunnerRegistration()));
        return new RegistrarResponse(state(message.getOutcome()), runner, message.getVouches());
    }

    static org.pollenhoist.vm.generated.OutcomeRecord toMessage(OutcomeRecord record, MonotonicTime now) {
        return org.pollenhoist.vm.generated.OutcomeRecord.newBuilder()
                .setIdempotencyDigest(bytes(record.digest()))
                .setRequestFingerprint(bytes(record.request()))
                .setRunnerVm(record.runner().vm().value())
                .setRunnerIncarnation(record.runner().incarnation())
                .setRunnerRegistration(record.runner().registration())
                .setOutcome(outcome(record.state()))
                .setAgeMilliseconds((int) now.since(record.since()).toMillis())
                .build();
    }

    static OutcomeRecord fromMessage(org.pollenhoist.vm.generated.OutcomeRecord message, MonotonicTime now) {
        RegistrarResponse.Runner runner = new RegistrarResponse.Runner(
                VmName.of(message.getRunnerVm()), message.getRunnerIncarnation(), message.getRunnerRegistration());
        long age = Integer.toUnsignedLong(message.getAgeMilliseconds());
        return new OutcomeRecord(
                fingerprint(message.getIdempotencyDigest()),
                fingerprint(message.getRequestFingerprint()),
                runner,
                state(message.getOutcome()),
                now.plus(Duration.ofMillis(age).negated()));
    }

    static OutcomeAnswer.Builder toMessage(StoredResponse answer) {
        return OutcomeAnswer.newBuilder()
                .setOutcome(OutcomeAnswer.Outcome.FINISHED)
                .setStatus(answer.status())
                .putAllHeaders(answer.headers())
                .setResponse(answer.body());
    }

    static Optional<StoredResponse> answerOf(OutcomeAnswer message) {
        if (message.getStatus() == 0) {
            return Optional.empty();
        }
        return Optional.of(
                new StoredResponse(message.getStatus(), new TreeMap<>(message.getHeadersMap()), message.getResponse()));
    }

    private static OutcomeAnswer.Outcome outcome(RegistrarResponse.State state) {
        return switch (state) {
            case NEVER_SEEN -> OutcomeAnswer.Outcome.NEVER_SEEN;
            case RUNNING -> OutcomeAnswer.Outcome.RUNNING;
            case FINISHED -> OutcomeAnswer.Outcome.FINISHED;
            case OUTCOME_LOST -> OutcomeAnswer.Outcome.UNKNOWN;
            case OTHER_REQUEST -> OutcomeAnswer.Outcome.OTHER_REQUEST;
        };
    }

    private static RegistrarResponse.State state(OutcomeAnswer.Outcome outcome) {
        return switch (outcome) {
            case NEVER_SEEN -> RegistrarResponse.State.NEVER_SEEN;
            case RUNNING -> RegistrarResponse.State.RUNNING;
            case FINISHED -> RegistrarResponse.State.FINISHED;
            case OTHER_REQUEST -> RegistrarResponse.State.OTHER_REQUEST;
            case UNKNOWN, UNRECOGNIZED -> RegistrarResponse.State.OUTCOME_LOST;
        };
    }
}
