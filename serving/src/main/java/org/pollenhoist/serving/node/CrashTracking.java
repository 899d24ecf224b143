package org.pollenhoist.serving.node;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.protobuf.InvalidProtocolBufferException;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.common.VmName;
import org.pollenhoist.request.CrashNotice;
import org.pollenhoist.request.CrashQuarantine;
import org.pollenhoist.request.RequestFingerprint;
import org.pollenhoist.serving.request.CrashRecorder;
import org.pollenhoist.serving.segment.SegmentKey;
import org.pollenhoist.serving.segment.SegmentQuarantine;
import org.pollenhoist.serving.segment.SegmentStatement;
import org.pollenhoist.serving.store.Store;
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.upstream.UpstreamTable;
import org.pollenhoist.vm.CrashVerdictExchange;
import org.pollenhoist.vm.generated.CrashVerdict;
import org.pollenhoist.vm.generated.VmDigest;

/**
 * Shares what this VM knows about requests and prompt segments that crash upstreams with the other VMs and the store.
 * Confined to the event loop.
 */
final class CrashTracking {

    private static final DecisionLog LOG = DecisionLog.of("peer");
    private static final String REQUEST_PREFIX = "pollenhoist/quarantine/";
    private static final String SEGMENT_PREFIX = "pollenhoist/segments/";

    private final Supplier<MonotonicTime> clock;
    private final CrashRecorder recorder;
    private final CrashNotices notices;
    private final CrashReview review;
    private final VerdictRecords requestVerdicts;
    private final VerdictRecords segmentVerdicts;

    /**
     * Creates an instance that knows of no crashes.
     *
     * @param vm the name of this VM
     * @param clock reads the current time
     * @param upstreams the upstreams
     * @param upstreamHeartbeat the interval at which upstreams renew their entries in the store
     * @param store the store
     * @param registry the registry of this VM's metrics
     * @param onNews called when the other VMs should soon receive a digest
     */
    CrashTracking(
            String vm,
            Supplier<MonotonicTime> clock,
            UpstreamTable upstreams,
            Duration upstreamHeartbeat,
            Store store,
            PrometheusRegistry registry,
            Runnable onNews) {
        this.clock = clock;
        VmName self = VmName.of(vm);
        CrashQuarantine requests = new CrashQuarantine(self, this::announce);
        SegmentQuarantine segments = new SegmentQuarantine(self, onNews);
        recorder = new CrashRecorder(requests, segments);
        notices = new CrashNotices(requests::verdicts);
        review = new CrashReview(requests, segments, upstreams, upstreamHeartbeat);
        requestVerdicts = new VerdictRecords(REQUEST_PREFIX, store, new RequestVerdicts(requests));
        segmentVerdicts = new VerdictRecords(SEGMENT_PREFIX, store, new SegmentVerdicts(segments));
        GaugeWithCallback.builder()
                .name("pollenhoist_crashing_segments")
                .help("Prompt segments that crash upstreams, so that requests with them are refused.")
                .callback(gauge -> gauge.call(segments.verdicts(clock.get()).size()))
                .register(registry);
    }

    CrashRecorder recorder() {
        return recorder;
    }

    private void announce(CrashNotice notice) {
        MonotonicTime now = clock.get();
        notices.add(notice, now);
        if (notice.isVerdict()) {
            requestVerdicts.writeNew(now);
        }
    }

    /** Announces what other VMs should know by now. */
    void announceDue(MonotonicTime now) {
        recorder.segments().announceDue(now);
    }

    /** Returns whether the other VMs should receive this VM's digest regardless of their failure domain. */
    boolean hasNews(MonotonicTime now) {
        return notices.hasNewNotices(now) || recorder.segments().hasNews(now);
    }

    /** Adds what the other VMs should know to a digest. */
    void addTo(VmDigest.Builder digest, MonotonicTime now) {
        notices.next(now).forEach(notice -> digest.addCrashVerdicts(CrashVerdictExchange.toMessage(notice)));
        recorder.segments()
                .nextStatements(now)
                .forEach(statement -> digest.addSegmentStatements(SegmentStatementCodec.toMessage(statement, now)));
    }

    /** Applies what another VM knows. */
    void receive(VmDigest digest, MonotonicTime now) {
        digest.getCrashVerdictsList()
                .forEach(verdict -> recorder.requests().receive(CrashVerdictExchange.fromMessage(verdict), now));
        if (digest.getSegmentStatementsCount() > 0) {
            receiveSegments(digest, now);
        }
    }

    private void receiveSegments(VmDigest digest, MonotonicTime now) {
        try {
            VmName sender = VmName.of(digest.getVmName());
            digest.getSegmentStatementsList()
                    .forEach(message ->
                            recorder.segments().receive(sender, SegmentStatementCodec.fromMessage(message, now), now));
        } catch (PollenhoistException malformed) {
            LOG.event("segment_statement_malformed", "vm", digest.getVmName(), "reason", malformed.getMessage());
        }
    }

    /** Applies an item of the store if it holds a verdict; returns whether it does. */
    boolean onWritten(StoreItem item, MonotonicTime now) {
        for (VerdictRecords records : List.of(requestVerdicts, segmentVerdicts)) {
            if (records.isStoredAt(item.key())) {
                records.onWritten(item, now);
                return true;
            }
        }
        return false;
    }

    /** Applies the removal of an item of the store if it held a verdict; returns whether it did. */
    boolean onRemoved(String key) {
        for (VerdictRecords records : List.of(requestVerdicts, segmentVerdicts)) {
            if (records.isStoredAt(key)) {
                records.onRemoved(key);
                return true;
            }
        }
        return false;
    }

    /**
     * Reviews the evidence and reconciles the verdicts with the store.
     *
     * @param isStoreKnown whether this VM currently knows the contents of the store
     * @param vmIndex number of VMs that write to the store before this one
     * @param now the current time
     */
    void tick(boolean isStoreKnown, int vmIndex, MonotonicTime now) {
        review.tick(isStoreKnown, now);
        requestVerdicts.tick(vmIndex, now);
        segmentVerdicts.tick(vmIndex, now);
    }

    /** Verdicts on requests, stored as the messages that VMs exchange. */
    record RequestVerdicts(CrashQuarantine quarantine) implements VerdictRecords.Verdicts {

        @Override
        public Map<String, byte[]> active(MonotonicTime now) {
            Map<String, byte[]> stored = new HashMap<>();
            quarantine
                    .verdicts(now)
                    .forEach(verdict -> stored.put(
                            verdict.fingerprint().toString(),
                            CrashVerdictExchange.toMessage(verdict).toByteArray()));
            return stored;
        }

        @Override
        public void restore(byte[] stored, MonotonicTime now) throws InvalidProtocolBufferException {
            quarantine.restore(CrashVerdictExchange.fromMessage(CrashVerdict.parseFrom(stored)), now);
        }
    }

    /** Verdicts on segments, stored as the messages that VMs exchange. */
    record SegmentVerdicts(SegmentQuarantine quarantine) implements VerdictRecords.Verdicts {

        @Override
        public Map<String, byte[]> active(MonotonicTime now) {
            Map<String, byte[]> stored = new HashMap<>();
            quarantine.verdicts(now).forEach(verdict -> stored.put(name(verdict.key()), withoutClaim(verdict, now)));
            return stored;
        }

        private static String name(SegmentKey key) {
            return RequestFingerprint.of("segment", key.service(), key.segment().getBytes(UTF_8))
                    .toString();
        }

        private static byte[] withoutClaim(SegmentStatement verdict, MonotonicTime now) {
            return SegmentStatementCodec.toMessage(verdict, now).toBuilder()
                    .clearClaimMilliseconds()
                    .build()
                    .toByteArray();
        }

        @Override
        public void restore(byte[] stored, MonotonicTime now) throws InvalidProtocolBufferException {
            quarantine.restore(
                    SegmentStatementCodec.fromMessage(
                            org.pollenhoist.vm.generated.SegmentStatement.parseFrom(stored), now),
                    now);
        }
    }
}
