package org.pollenhoist.serving.node;

import java.util.Collection;
import org.pollenhoist.routing.Rendezvous;

/**
 * Ranks the VMs of a failure domain for a duty that loads the link of the VM that has it. VMs with wide links come
 * first; among them, and among the others, the rendezvous weight for the duty decides.
 */
final class LinkRanking {

    /**
     * By how many times the widest link of a failure domain may exceed another one that ranks alike. Duties move only
     * for a gain that is worth it.
     */
    private static final long MAX_RATIO_OF_EQUAL_LINKS = 2;

    /**
     * A VM that may have the duty.
     *
     * @param vm its name
     * @param linkMegabits the bandwidth of its link in megabits per second, 0 if it is unknown
     */
    record Candidate(String vm, int linkMegabits) {}

    private LinkRanking() {}

    /**
     * Counts the VMs that rank before a VM.
     *
     * @param duty names the duty and the failure domain
     * @param self the VM
     * @param others the other VMs of the failure domain that may have the duty
     * @return how many of the others rank before it; those with a link of at least half of the widest one that is known
     *     precede all others
     */
    static long countPreceding(String duty, Candidate self, Collection<Candidate> others) {
        long key = Rendezvous.hash(duty);
        long own = Rendezvous.weight(key, self.vm());
        int widest = others.stream().mapToInt(Candidate::linkMegabits).reduce(self.linkMegabits(), Math::max);
        boolean isWide = isWide(self, widest);
        return others.stream()
                .filter(other -> isWide(other, widest) == isWide ? Rendezvous.weight(key, other.vm()) > own : !isWide)
                .count();
    }

    private static boolean isWide(Candidate candidate, int widest) {
        return candidate.linkMegabits() * MAX_RATIO_OF_EQUAL_LINKS >= widest;
    }
}
