package org.pollenhoist.request;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.VmName;
import org.pollenhoist.routing.Rendezvous;

/** The asking side of requests with idempotency keys: whom to ask, and what follows from the answers. */
public final class OutcomeInquiry {

    private OutcomeInquiry() {}

    /** What follows from the registrars' answers. */
    public sealed interface Verdict {

        /** The key is new, and it is registered: the request may run. */
        record Run() implements Verdict {}

        /**
         * The request runs or ran elsewhere.
         *
         * @param state RUNNING, FINISHED, OUTCOME_LOST or OTHER_REQUEST
         * @param runner the process that runs or ran it
         */
        record Known(RegistrarResponse.State state, Optional<RegistrarResponse.Runner> runner) implements Verdict {}

        /** It can't be known whether it ran before: it does not run now. */
        record Unknown() implements Verdict {}
    }

    /**
     * Returns the failure domain whose VMs keep a key. All VMs agree as long as their configuration does.
     *
     * @param digest the key's digest
     * @param failureDomains all failure domains of the configuration
     * @return the home domain
     */
    public static FailureDomain home(RequestFingerprint digest, Collection<FailureDomain> failureDomains) {
        return Rendezvous.rank(digest.high(), failureDomains).getFirst();
    }

    /**
     * Returns the VMs that keep a key.
     *
     * @param digest the key's digest
     * @param members the VMs of the home domain that can be reached
     * @return one or two of them; none where no member can be reached
     */
    public static List<VmName> registrars(RequestFingerprint digest, Collection<VmName> members) {
        return Rendezvous.rank(digest.high(), members).stream()
                .limit(OutcomeRegistry.REGISTRARS)
                .toList();
    }

    /**
     * Concludes from the answers. The request runs only where every registrar answered that the key is new and one of
     * them would know of every earlier run.
     *
     * @param asked how many registrars were asked
     * @param answers the answers that came in time
     * @return what follows
     */
    public static Verdict conclude(int asked, Collection<RegistrarResponse> answers) {
        for (RegistrarResponse answer : answers) {
            if (answer.state() != RegistrarResponse.State.NEVER_SEEN) {
                return new Verdict.Known(answer.state(), answer.runner());
            }
        }
        boolean isVouchedFor = answers.stream().anyMatch(RegistrarResponse::vouches);
        return asked > 0 && answers.size() == asked && isVouchedFor ? new Verdict.Run() : new Verdict.Unknown();
    }
}
