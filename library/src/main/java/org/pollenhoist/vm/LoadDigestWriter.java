package org.pollenhoist.vm;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.pollenhoist.common.AdapterName;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.routing.UpstreamReport;
import org.pollenhoist.vm.generated.LoadDigest;
import org.pollenhoist.vm.generated.UpstreamLoad;

/**
 * Writes the digests of the reports that this VM polled. The long lists of residents go along only in the rounds after
 * they changed and now and then, since most rounds change none. Not thread-safe.
 */
public final class LoadDigestWriter {

    /** Rounds in a row that carry changed residents, against the loss of one. */
    private static final int ROUNDS_WITH_CHANGE = 2;

    /** Every so many rounds each upstream's residents go along, for peers that have just joined. */
    private static final int ROUNDS_BETWEEN_REPETITIONS = 32;

    private final Map<UpstreamName, Sent> sentByUpstream = new HashMap<>();
    private long round;

    private record Residents(long incarnation, Set<ModelName> models, Set<AdapterName> adapters) {}

    private record Sent(Residents residents, int version, long changedInRound) {}

    /**
     * One polled report.
     *
     * @param report the report
     * @param arrived when it arrived, for its age at the time of sending
     */
    public record Polled(UpstreamReport report, MonotonicTime arrived) {}

    /** Creates a writer that has sent nothing. */
    public LoadDigestWriter() {}

    /**
     * Writes the next round's digest.
     *
     * @param polled the last report of each upstream that this VM polls
     * @param now the present time
     * @return the message
     */
    public LoadDigest write(Collection<Polled> polled, MonotonicTime now) {
        round++;
        LoadDigest.Builder digest = LoadDigest.newBuilder();
        polled.forEach(entry -> digest.addUpstreams(load(entry, now)));
        return digest.build();
    }

    private UpstreamLoad load(Polled polled, MonotonicTime now) {
        UpstreamReport report = polled.report();
        Sent sent = noteResidents(report);
        UpstreamLoad.Builder load = UpstreamLoad.newBuilder()
                .setUpstream(report.upstream().value())
                .setIncarnation(report.incarnation())
                .setRunning(report.running())
                .setWaiting(report.waiting())
                .setFreeMemoryBytes(report.freeMemoryBytes())
                .setLeaving(report.isLeaving())
                .setAgeMilliseconds(
                        (int) report.age().plus(now.since(polled.arrived())).toMillis())
                .setResidentsVersion(sent.version());
        if (goesAlong(report.upstream(), sent)) {
            load.setHasResidents(true);
            report.models().forEach(model -> load.addResidentModels(model.value()));
            report.adapters().forEach(adapter -> load.addResidentAdapters(adapter.value()));
        }
        return load.build();
    }

    private Sent noteResidents(UpstreamReport report) {
        Residents residents = new Residents(report.incarnation(), report.models(), report.adapters());
        Sent last = sentByUpstream.get(report.upstream());
        if (last != null && last.residents().equals(residents)) {
            return last;
        }
        Sent changed = new Sent(residents, last == null ? 1 : last.version() + 1, round);
        sentByUpstream.put(report.upstream(), changed);
        return changed;
    }

    private boolean goesAlong(UpstreamName upstream, Sent sent) {
        boolean isChanged = round - sent.changedInRound() < ROUNDS_WITH_CHANGE;
        long turn = Math.floorMod(upstream.hashCode(), ROUNDS_BETWEEN_REPETITIONS);
        return isChanged || round % ROUNDS_BETWEEN_REPETITIONS == turn;
    }
}
