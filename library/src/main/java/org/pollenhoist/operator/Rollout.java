package org.pollenhoist.operator;

import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;

/** Waits until a revision is in force on all VMs, or a time is over. */
public final class Rollout {

    private static final Duration PAUSE = Duration.ofMillis(100);

    private Rollout() {}

    /**
     * Waits.
     *
     * @param revision the revision
     * @param patience how long to wait at most
     * @param ask asks all VMs
     * @param pause waits between two questions
     * @return the last answers
     */
    public static List<VmStatusClient.Answer> await(
            long revision, Duration patience, Supplier<List<VmStatusClient.Answer>> ask, Pause pause) {
        long end = System.nanoTime() + patience.toNanos();
        List<VmStatusClient.Answer> answers = ask.get();
        while (!isEverywhere(revision, answers) && System.nanoTime() - end < 0) {
            pause.pause(PAUSE);
            answers = ask.get();
        }
        return answers;
    }

    /**
     * Tells whether a revision is in force on all VMs.
     *
     * @param revision the revision
     * @param answers the VMs' answers
     * @return true where each VM answered with this revision or a higher one
     */
    public static boolean isEverywhere(long revision, List<VmStatusClient.Answer> answers) {
        return answers.stream().allMatch(answer -> answer.hasInForce(revision));
    }
}
