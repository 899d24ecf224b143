package org.pollenhoist.request;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.VmName;
import org.pollenhoist.routing.Rendezvous;

/** The client side of the registration of idempotency keys: selects the registrars and evaluates their responses. */
public final class OutcomeInquiry {

    private OutcomeInquiry() {}

    /** The result of evaluating the responses of the registrars. */
    public sealed interface Verdict {

        /** The key is new and now registered: the request may run. */
        record Run() implements Verdict {}

        /**
         * The key was used before.
         *
         * @param state RUNNING, FINISHED, OUTCOME_LOST or OTHER_REQUEST
         * @param runner the process that runs or ran it
         */
        record Known(RegistrarResponse.State state, Optional<RegistrarResponse.Runner> runner) implements Verdict {}

        /** It is unknown whether the request ran before, so it must not run now. */
        record Unknown() implements Verdict {}
    }

    /**
     * Returns the failure domain whose VMs are the registrars of a key. All VMs with the same configuration get the
     * same result.
     *
     * @param digest the key's digest
     * @param failureDomains all failure domains of the configuration
     * @return the home domain
     */
    public static FailureDomain home(RequestFingerprint digest, Collection<FailureDomain> failureDomains) {
        return Rendezvous.rank(digest.high(), failureDomains).getFirst();
    }

    /**
     * Returns the registrars of a key.
     *
     * @param digest the key's digest
     * @param members the reachable VMs of the home domain
     * @return one or two of them; none if no member is reachable
     */
    public static List<VmName> registrars(RequestFingerprint digest, Collection<VmName> members) {
        return Rendezvous.rank(digest.high(), members).stream()
                .limit(OutcomeRegistry.REGISTRARS)
                .toList();
    }

    /**
     * Evaluates the responses. The request may run only if every registrar responded that the key is new and at least
     * one of them vouches for it.
     *
     * @param asked the number of registrars that were asked
     * @param responses the responses that arrived in time
     * @return the result
     */
    public static Verdict conclude(int asked, Collection<RegistrarResponse> responses) {
        for (RegistrarResponse response : responses) {
            if (response.state() != RegistrarResponse.State.NEVER_SEEN) {
                return new Verdict.Known(response.state(), response.runner());
            }
        }
        boolean isVouchedFor = responses.stream().anyMatch(RegistrarResponse::vouches);
        return asked > 0 && responses.size() == asked && isVouchedFor ? new Verdict.Run() : new Verdict.Unknown();
    }
}
