package org.pollenhoist.vm;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.common.VmName;
import org.pollenhoist.request.CrashNotice;
import org.pollenhoist.request.CrashQuarantine;
import org.pollenhoist.request.RequestFingerprint;
import org.pollenhoist.vm.generated.CrashVerdict;
import org.pollenhoist.vm.generated.Frame;
import org.pollenhoist.vm.generated.UpstreamLifetime;

/**
 * Carries notices about suspect requests between VMs.
 *
 * <p>Example: {@code mesh.addListener(CrashVerdictExchange.receiver(quarantine))}, with
 * {@code new CrashQuarantine(self, notice -> CrashVerdictExchange.send(mesh, notice))}.
 */
public final class CrashVerdictExchange {

    private CrashVerdictExchange() {}

    /**
     * Sends a notice to all connected peers.
     *
     * @param messenger the way to the peers
     * @param notice the notice
     */
    public static void send(PeerMessenger messenger, CrashNotice notice) {
        Frame frame = Frame.newBuilder().setCrashVerdict(toMessage(notice)).build();
        messenger.connectedPeers().forEach(peer -> messenger.send(peer, frame));
    }

    /**
     * Returns a listener that gives peers' notices to a quarantine.
     *
     * @param quarantine the quarantine
     * @return the listener
     */
    public static PeerListener receiver(CrashQuarantine quarantine) {
        return (Peer sender, Frame frame, MonotonicTime now) -> {
            if (frame.hasCrashVerdict()) {
                quarantine.receive(fromMessage(frame.getCrashVerdict()), now);
            }
        };
    }

    /**
     * Writes a notice as a message.
     *
     * @param notice the notice
     * @return the message
     */
    public static CrashVerdict toMessage(CrashNotice notice) {
        CrashVerdict.Builder verdict = CrashVerdict.newBuilder()
                .setFingerprint(ByteString.copyFrom(notice.fingerprint().toBytes()))
                .setRemainingSeconds((int) notice.remaining().toSeconds())
                .setTrialVm(notice.trialVm().map(VmName::value).orElse(""))
                .setCleared(notice.isCleared())
                .setIsVerdict(notice.isVerdict());
        notice.crashes()
                .forEach(lifetime -> verdict.addCrashes(UpstreamLifetime.newBuilder()
                        .setUpstream(lifetime.upstream().value())
                        .setStartedMilliseconds(lifetime.startedMilliseconds())));
        return verdict.build();
    }

    /**
     * Reads a notice from a message.
     *
     * @param verdict the message
     * @return the notice
     */
    public static CrashNotice fromMessage(CrashVerdict verdict) {
        Set<org.pollenhoist.request.UpstreamLifetime> crashes = verdict.getCrashesList().stream()
                .map(told -> new org.pollenhoist.request.UpstreamLifetime(
                        UpstreamName.of(told.getUpstream()), told.getStartedMilliseconds()))
                .collect(Collectors.toUnmodifiableSet());
        Optional<VmName> trialVm =
                verdict.getTrialVm().isEmpty() ? Optional.empty() : Optional.of(VmName.of(verdict.getTrialVm()));
        return new CrashNotice(
                RequestFingerprint.parse(verdict.getFingerprint().toByteArray()),
                crashes,
                trialVm,
                verdict.getCleared(),
                verdict.getIsVerdict(),
                Duration.ofSeconds(Integer.toUnsignedLong(verdict.getRemainingSeconds())));
    }
}
