package org.pollenhoist.limit;

import java.time.Duration;
import java.util.Optional;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.vm.generated.Frame;
import org.pollenhoist.vm.generated.ShareLoan;
import org.pollenhoist.vm.generated.ShareRequest;
import org.pollenhoist.vm.generated.ShareReturn;
import org.pollenhoist.vm.generated.ShareStatus;
import org.pollenhoist.vm.generated.TeamShareStatus;

/** Turns messages about shares into the frames that VMs exchange, and back. */
public final class ShareFrames {

    private ShareFrames() {}

    /**
     * Returns the frame of a message.
     *
     * @param message the message
     * @return the frame
     */
    public static Frame toFrame(ShareMessage message) {
        Frame.Builder frame = Frame.newBuilder();
        return switch (message) {
            case ShareMessage.Request request ->
                frame.setShareRequest(request(request)).build();
            case ShareMessage.Loan loan -> frame.setShareLoan(loan(loan)).build();
            case ShareMessage.Return back -> frame.setShareReturn(back(back)).build();
            case ShareMessage.Status status ->
                frame.setShareStatus(status(status)).build();
        };
    }

    /**
     * Returns the message in a frame.
     *
     * @param frame the frame
     * @return the message, or empty where the frame is about something else
     */
    public static Optional<ShareMessage> toMessage(Frame frame) {
        return switch (frame.getBodyCase()) {
            case SHARE_REQUEST -> Optional.of(message(frame.getShareRequest()));
            case SHARE_LOAN -> Optional.of(message(frame.getShareLoan()));
            case SHARE_RETURN -> Optional.of(message(frame.getShareReturn()));
            case SHARE_STATUS -> Optional.of(message(frame.getShareStatus()));
            default -> Optional.empty();
        };
    }

    private static ShareRequest request(ShareMessage.Request request) {
        return ShareRequest.newBuilder()
                .setTeam(request.team().value())
                .setBorrowerIncarnation(request.borrowerIncarnation())
                .setRequest(request.request())
                .setWantedRateParts(request.wantedRateParts())
                .setWantedBurstParts(request.wantedBurstParts())
                .setWantedTokens(request.wantedTokens())
                .setIsUrgent(request.isUrgent())
                .build();
    }

    private static ShareLoan loan(ShareMessage.Loan loan) {
        return ShareLoan.newBuilder()
                .setTeam(loan.team().value())
                .setBorrowerIncarnation(loan.borrowerIncarnation())
                .setRequest(loan.request())
                .setLenderIncarnation(loan.lenderIncarnation())
                .setSequence(loan.sequence())
                .setLoanSequence(loan.loanSequence())
                .setLentRateParts(loan.lentRateParts())
                .setLentBurstParts(loan.lentBurstParts())
                .setDurationMilliseconds((int) loan.duration().toMillis())
                .setTokens(loan.tokens())
                .setLevelTokens(loan.levelTokens())
                .build();
    }

    private static ShareReturn back(ShareMessage.Return back) {
        return ShareReturn.newBuilder()
                .setTeam(back.team().value())
                .setLenderIncarnation(back.lenderIncarnation())
                .setLoanSequence(back.loanSequence())
                .setTokens(back.tokens())
                .build();
    }

    private static ShareStatus status(ShareMessage.Status status) {
        ShareStatus.Builder frame = ShareStatus.newBuilder();
        for (ShareMessage.TeamStatus team : status.teams()) {
            frame.addTeams(TeamShareStatus.newBuilder()
                    .setTeam(team.team().value())
                    .setRateParts(team.rateParts())
                    .setBurstParts(team.burstParts())
                    .setLevelTokens((float) team.levelTokens())
                    .setDemandTokensPerSecond((float) team.demandTokensPerSecond()));
        }
        return frame.build();
    }

    private static ShareMessage message(ShareRequest request) {
        return new ShareMessage.Request(
                TeamName.of(request.getTeam()),
                request.getBorrowerIncarnation(),
                request.getRequest(),
                request.getWantedRateParts(),
                request.getWantedBurstParts(),
                request.getWantedTokens(),
                request.getIsUrgent());
    }

    private static ShareMessage message(ShareLoan loan) {
        return new ShareMessage.Loan(
                TeamName.of(loan.getTeam()),
                loan.getBorrowerIncarnation(),
                loan.getRequest(),
                loan.getLenderIncarnation(),
                loan.getSequence(),
                loan.getLoanSequence(),
                loan.getLentRateParts(),
                loan.getLentBurstParts(),
                Duration.ofMillis(loan.getDurationMilliseconds()),
                loan.getTokens(),
                loan.getLevelTokens());
    }

    private static ShareMessage message(ShareReturn back) {
        return new ShareMessage.Return(
                TeamName.of(back.getTeam()), back.getLenderIncarnation(), back.getLoanSequence(), back.getTokens());
    }

    private static ShareMessage message(ShareStatus status) {
        return new ShareMessage.Status(status.getTeamsList().stream()
                .map(team -> new ShareMessage.TeamStatus(
                        TeamName.of(team.getTeam()),
                        team.getRateParts(),
                        team.getBurstParts(),
                        team.getLevelTokens(),
                        team.getDemandTokensPerSecond()))
                .toList());
    }
}
