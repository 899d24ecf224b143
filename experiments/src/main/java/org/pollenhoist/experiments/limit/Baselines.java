package org.pollenhoist.experiments.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.experiments.simulation.EventQueue;
import org.pollenhoist.limit.Admission;
import org.pollenhoist.limit.HomeShare;
import org.pollenhoist.limit.Parts;
import org.pollenhoist.limit.Reservation;
import org.pollenhoist.limit.ShareSettings;
import org.pollenhoist.limit.ShareTable;

/** The contenders against which shares that move are measured. No VM of theirs fails. */
final class Baselines {

    private Baselines() {}

    /** Runs a workload against one counter with perfect knowledge. */
    static Tally central(Workload workload) {
        CentralCounter counter = new CentralCounter(workload.limits());
        Tally tally = new Tally(workload.limits());
        EventQueue queue = new EventQueue();
        for (Workload.Arrival arrival : workload.arrivals()) {
            queue.runUntil(arrival.time());
            Optional<Reservation> reservation = counter.admit(arrival.team(), arrival.boundTokens(), queue.now());
            record(
                    tally,
                    queue,
                    arrival,
                    reservation.isPresent(),
                    () -> counter.settle(reservation.orElseThrow(), arrival.usedTokens(), queue.now()));
        }
        return tally;
    }

    /** Runs a workload against a fixed equal part of every limit on each VM. */
    static Tally equalSplit(Workload workload, int vms) {
        List<ShareTable> tables = new ArrayList<>();
        MonotonicTime begin = new MonotonicTime(0);
        MonotonicTime end = new MonotonicTime(Long.MAX_VALUE);
        for (int vm = 0; vm < vms; vm++) {
            ShareTable table = ShareTable.empty(ShareSettings.defaults(), vm);
            table.setLimits(workload.limits(), begin);
            table.setHome(new HomeShare(List.of(new HomeShare.Piece(Parts.WHOLE / vms, begin, end))), begin);
            tables.add(table);
        }
        Tally tally = new Tally(workload.limits());
        EventQueue queue = new EventQueue();
        for (Workload.Arrival arrival : workload.arrivals()) {
            queue.runUntil(arrival.time());
            ShareTable table = tables.get(arrival.vm());
            Admission admission = table.admit(arrival.team(), arrival.boundTokens(), new MonotonicTime(queue.now()));
            record(
                    tally,
                    queue,
                    arrival,
                    admission instanceof Admission.Admitted,
                    () -> table.settle(
                            ((Admission.Admitted) admission).reservation(),
                            arrival.usedTokens(),
                            new MonotonicTime(queue.now())));
        }
        return tally;
    }

    private static void record(
            Tally tally, EventQueue queue, Workload.Arrival arrival, boolean isAdmitted, Runnable settle) {
        if (!isAdmitted) {
            tally.refused(arrival.team(), arrival.boundTokens(), queue.now());
            return;
        }
        Tally.Entry entry = tally.admitted(arrival.team(), arrival.boundTokens(), queue.now());
        queue.after(arrival.runNanoseconds(), () -> {
            settle.run();
            tally.settled(arrival.team(), entry, arrival.usedTokens(), queue.now());
        });
    }
}
