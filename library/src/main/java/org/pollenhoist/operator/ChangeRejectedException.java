package org.pollenhoist.operator;

import java.util.List;
import java.util.stream.Collectors;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.configuration.Difference;

/** A change that was not accepted, or of which it is not known whether it was. */
public final class ChangeRejectedException extends PollenhoistException {

    private static final long serialVersionUID = 1L;
    private static final int NAMED_DIFFERENCES = 20;

    private ChangeRejectedException(ErrorCode code, String message) {
        super(code, message);
    }

    /**
     * Returns the error for a change that another operator's change preceded.
     *
     * @param expectedRevision the revision that this change was made for
     * @param actualRevision the revision in force
     * @param changed what changed between the two; empty where the earlier one is gone
     * @return the error
     */
    public static ChangeRejectedException revisionConflict(
            long expectedRevision, long actualRevision, List<Difference> changed) {
        return new ChangeRejectedException(
                ErrorCode.REVISION_CONFLICT,
                "nothing was changed: this change is for revision " + expectedRevision + ", but revision "
                        + actualRevision + " is the latest" + listed(changed));
    }

    private static String listed(List<Difference> changed) {
        if (changed.isEmpty()) {
            return "";
        }
        String shown = changed.stream()
                .limit(NAMED_DIFFERENCES)
                .map(Difference::toString)
                .collect(Collectors.joining("; "));
        int left = changed.size() - NAMED_DIFFERENCES;
        return ", which changed " + shown + (left > 0 ? "; and " + left + " more" : "");
    }

    /**
     * Returns the error for a change whose outcome could not be learned.
     *
     * @param changeIdentifier the change
     * @param expectedRevision the revision that it would make
     * @param reason what was seen last
     * @return the error
     */
    public static ChangeRejectedException outcomeUnknown(
            String changeIdentifier, long expectedRevision, String reason) {
        return new ChangeRejectedException(
                ErrorCode.OUTCOME_UNKNOWN,
                "change " + changeIdentifier + " for revision " + expectedRevision
                        + " may or may not have been accepted: " + reason
                        + "; 'pollenhoist show' names the latest changes once the platform answers");
    }

    /**
     * Returns the error for a key of a team that does not exist.
     *
     * @param team the team
     * @return the error
     */
    public static ChangeRejectedException unknownTeam(TeamName team) {
        return new ChangeRejectedException(ErrorCode.NOT_FOUND, "there is no team '" + team + "'");
    }

    /**
     * Returns the error for a key that does not exist or was withdrawn before.
     *
     * @param identifier the key's identifier
     * @return the error
     */
    public static ChangeRejectedException unknownKey(String identifier) {
        return new ChangeRejectedException(ErrorCode.NOT_FOUND, "there is no key '" + identifier + "' in force");
    }

    /**
     * Returns the error for a change that needs a configuration where there is none.
     *
     * @return the error
     */
    public static ChangeRejectedException noConfiguration() {
        return new ChangeRejectedException(
                ErrorCode.NOT_FOUND, "no configuration was applied yet; apply one before giving keys");
    }
}
