package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.common.VmName;
import org.pollenhoist.request.Admission;
import org.pollenhoist.request.CrashQuarantine;
import org.pollenhoist.request.RequestFingerprint;
import org.pollenhoist.request.UpstreamLifetime;
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.store.StoreRevision;

class VerdictRecordsTest {

    private static final RequestFingerprint REQUEST = RequestFingerprint.of("POST", "/charge/1", new byte[] {1});
    private static final String PREFIX = "pollenhoist/quarantine/";
    private static final String KEY = PREFIX + REQUEST;

    private final InMemoryStore store = new InMemoryStore();

    /** The components of one VM that handle verdicts. */
    private final class Vm {

        private final List<Runnable> announced = new ArrayList<>();
        private final CrashQuarantine quarantine;
        private final VerdictRecords records;
        private long now;

        private Vm(String name) {
            quarantine = new CrashQuarantine(VmName.of(name), notice -> {
                if (notice.isVerdict()) {
                    announced.add(() -> records().writeNew(at(now)));
                }
            });
            records = new VerdictRecords(PREFIX, store, new CrashTracking.RequestVerdicts(quarantine));
        }

        private VerdictRecords records() {
            return records;
        }

        private void observeCrash(String upstream, long milliseconds) {
            now = milliseconds;
            quarantine.recordBreak(REQUEST, lifetime(upstream), at(milliseconds));
            announced.forEach(Runnable::run);
            announced.clear();
        }

        private void readStore(long milliseconds) {
            store.items.forEach((key, value) ->
                    records.onWritten(new StoreItem(key, value, StoreRevision.withoutEra(1), false), at(milliseconds)));
        }

        private boolean refuses(long milliseconds) {
            return quarantine.admit(REQUEST, without -> 9, at(milliseconds)) instanceof Admission.Quarantined;
        }
    }

    private static MonotonicTime at(long milliseconds) {
        return MonotonicTime.of(Duration.ofMillis(milliseconds));
    }

    private static UpstreamLifetime lifetime(String upstream) {
        return new UpstreamLifetime(UpstreamName.of(upstream), 1);
    }

    @Nested
    class Writing {

        @Test
        void should_write_a_verdict_immediately_so_that_it_survives_a_restart_of_all_vms() {
            Vm first = new Vm("vm-1");
            first.observeCrash("i-1", 0);
            assertThat(store.items).isEmpty();
            first.observeCrash("i-2", 100);
            assertThat(store.items).containsOnlyKeys(KEY);

            Vm later = new Vm("vm-2");
            later.readStore(0);

            assertThat(later.refuses(1)).isTrue();
        }

        @Test
        void should_write_only_once_when_the_store_contains_the_verdict() {
            Vm vm = new Vm("vm-1");
            vm.observeCrash("i-1", 0);
            vm.observeCrash("i-2", 100);
            vm.readStore(200);

            vm.records.tick(0, at(60_000));

            assertThat(store.commits).isEqualTo(1);
        }

        @Test
        void should_retry_the_write_when_the_store_was_unavailable() {
            Vm vm = new Vm("vm-1");
            store.isUnavailable = true;
            vm.observeCrash("i-1", 0);
            vm.observeCrash("i-2", 100);
            store.isUnavailable = false;

            for (long now = 500; now <= 3_000; now += 500) {
                vm.records.tick(0, at(now));
            }

            assertThat(store.items).containsOnlyKeys(KEY);
        }

        @Test
        void should_write_a_verdict_of_a_peer_only_after_the_delay_of_this_vm() {
            Vm vm = new Vm("vm-1");
            Vm other = new Vm("vm-2");
            store.isUnavailable = true;
            vm.observeCrash("i-1", 0);
            vm.observeCrash("i-2", 100);
            store.isUnavailable = false;
            vm.quarantine.verdicts(at(200)).forEach(verdict -> other.quarantine.receive(verdict, at(200)));

            other.records.tick(3, at(300));
            other.records.tick(3, at(1_800));
            assertThat(store.items).isEmpty();
            other.records.tick(3, at(2_000));
            assertThat(store.items).containsOnlyKeys(KEY);
        }
    }

    @Nested
    class Removing {

        @Test
        void should_remove_a_verdict_when_it_was_lifted_because_its_upstreams_kept_running() {
            Vm vm = new Vm("vm-1");
            vm.observeCrash("i-1", 0);
            vm.observeCrash("i-2", 100);
            vm.readStore(200);

            vm.quarantine.review(lifetime -> true, Duration.ofSeconds(5), at(6_000));
            vm.records.tick(0, at(6_000));
            vm.records.tick(0, at(12_000));

            assertThat(store.items).isEmpty();
        }

        @Test
        void should_keep_a_verdict_when_it_is_unreadable() {
            Vm vm = new Vm("vm-1");
            store.items.put(KEY, new byte[] {1, 2, 3});
            vm.readStore(0);

            vm.records.tick(0, at(0));
            vm.records.tick(0, at(60_000));

            assertThat(store.items).containsOnlyKeys(KEY);
        }
    }
}
