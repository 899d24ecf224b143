package org.pollenhoist.vm;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.pollenhoist.common.AdapterName;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.routing.UpstreamReport;
import org.pollenhoist.vm.generated.LoadDigest;
import org.pollenhoist.vm.generated.UpstreamLoad;

/**
 * Reads peers' digests and fills in the residents that were left out since they are known already. Not thread-safe.
 */
public final class LoadDigestReader {

    private final Map<UpstreamName, Residents> known = new HashMap<>();

    private record Residents(long incarnation, Set<ModelName> models, Set<AdapterName> adapters) {}

    /** Creates a reader that knows no residents. */
    public LoadDigestReader() {}

    /**
     * Reads a digest. An upstream whose residents are not known yet is left out.
     *
     * @param digest the message
     * @return the reports
     */
    public List<UpstreamReport> read(LoadDigest digest) {
        List<UpstreamReport> reports = new ArrayList<>();
        for (UpstreamLoad load : digest.getUpstreamsList()) {
            UpstreamName upstream = UpstreamName.of(load.getUpstream());
            if (load.getHasResidents()) {
                known.put(upstream, residents(load));
            }
            Residents residents = known.get(upstream);
            if (residents != null && residents.incarnation() == load.getIncarnation()) {
                reports.add(report(upstream, load, residents));
            }
        }
        return reports;
    }

    private static Residents residents(UpstreamLoad load) {
        Set<ModelName> models = new HashSet<>();
        load.getResidentModelsList().forEach(name -> models.add(ModelName.of(name)));
        Set<AdapterName> adapters = new HashSet<>();
        load.getResidentAdaptersList().forEach(name -> adapters.add(AdapterName.of(name)));
        return new Residents(load.getIncarnation(), models, adapters);
    }

    private static UpstreamReport report(UpstreamName upstream, UpstreamLoad load, Residents residents) {
        return new UpstreamReport(
                upstream,
                load.getIncarnation(),
                load.getRunning(),
                load.getWaiting(),
                load.getFreeMemoryBytes(),
                residents.models(),
                residents.adapters(),
                load.getLeaving(),
                Duration.ofMillis(Integer.toUnsignedLong(load.getAgeMilliseconds())));
    }
}
