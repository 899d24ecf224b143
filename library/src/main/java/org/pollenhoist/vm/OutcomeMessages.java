package org.pollenhoist.vm;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Optional;
import java.util.TreeMap;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.VmName;
import org.pollenhoist.request.OutcomeRecord;
import org.pollenhoist.request.RegistrarAnswer;
import org.pollenhoist.request.RequestFingerprint;
import org.pollenhoist.request.StoredAnswer;
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

    static OutcomeAnswer.Builder toMessage(RegistrarAnswer answer) {
        OutcomeAnswer.Builder message =
                OutcomeAnswer.newBuilder().setOutcome(outcome(answer.state())).setVouches(answer.vouches());
        answer.runner()
                .ifPresent(runner -> message.setRunnerVm(runner.vm().value())
                        .setRunnerIncarnation(runner.incarnation())
                        .setRunnerRegistration(runner.registration()));
        return message;
    }

    static RegistrarAnswer fromMessage(OutcomeAnswer message) {
        Optional<RegistrarAnswer.Runner> runner = message.getRunnerVm().isEmpty()
                ? Optional.empty()
                : Optional.of(new RegistrarAnswer.Runner(
                        VmName.of(message.getRunnerVm()),
                        message.getRunnerIncarnation(),
                        message.getRunnerRegistration()));
        return new RegistrarAnswer(state(message.getOutcome()), runner, message.getVouches());
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
        RegistrarAnswer.Runner runner = new RegistrarAnswer.Runner(
                VmName.of(message.getRunnerVm()), message.getRunnerIncarnation(), message.getRunnerRegistration());
        long age = Integer.toUnsignedLong(message.getAgeMilliseconds());
        return new OutcomeRecord(
                fingerprint(message.getIdempotencyDigest()),
                fingerprint(message.getRequestFingerprint()),
                runner,
                state(message.getOutcome()),
                now.plus(Duration.ofMillis(age).negated()));
    }

    static OutcomeAnswer.Builder toMessage(StoredAnswer answer) {
        return OutcomeAnswer.newBuilder()
                .setOutcome(OutcomeAnswer.Outcome.FINISHED)
                .setStatus(answer.status())
                .putAllHeaders(answer.headers())
                .setResponse(answer.body());
    }

    static Optional<StoredAnswer> answerOf(OutcomeAnswer message) {
        if (message.getStatus() == 0) {
            return Optional.empty();
        }
        return Optional.of(
                new StoredAnswer(message.getStatus(), new TreeMap<>(message.getHeadersMap()), message.getResponse()));
    }

    private static OutcomeAnswer.Outcome outcome(RegistrarAnswer.State state) {
        return switch (state) {
            case NEVER_SEEN -> OutcomeAnswer.Outcome.NEVER_SEEN;
            case RUNNING -> OutcomeAnswer.Outcome.RUNNING;
            case FINISHED -> OutcomeAnswer.Outcome.FINISHED;
            case OUTCOME_LOST -> OutcomeAnswer.Outcome.UNKNOWN;
            case OTHER_REQUEST -> OutcomeAnswer.Outcome.OTHER_REQUEST;
        };
    }

    private static RegistrarAnswer.State state(OutcomeAnswer.Outcome outcome) {
        return switch (outcome) {
            case NEVER_SEEN -> RegistrarAnswer.State.NEVER_SEEN;
            case RUNNING -> RegistrarAnswer.State.RUNNING;
            case FINISHED -> RegistrarAnswer.State.FINISHED;
            case OTHER_REQUEST -> RegistrarAnswer.State.OTHER_REQUEST;
            case UNKNOWN, UNRECOGNIZED -> RegistrarAnswer.State.OUTCOME_LOST;
        };
    }
}
