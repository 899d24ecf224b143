package org.pollenhoist.serving.node;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.stream.StreamKey;
import org.pollenhoist.serving.stream.StreamOrigin;
import org.pollenhoist.serving.stream.StreamRegistry;
import org.pollenhoist.serving.upstream.UpstreamDescription;

/** Simulates callers of streams before a fleet of VMs and upstreams of several software versions. */
final class MixedVersionFleet {

    static final String SERVICE = "engines";
    private static final String TEAM = "team";

    private static final int MINIMUM_LIFE_MILLISECONDS = 200;
    private static final int LIFE_SPREAD_MILLISECONDS = 2_000;
    private static final int MAXIMUM_RETURN_MILLISECONDS = 300;
    private static final int POLL_MILLISECONDS = 50;
    private static final int MAXIMUM_ABSENCE_MILLISECONDS = 2_000;

    /** A copy of the store and the upstreams that were registered when it was made. */
    record Copy(InMemoryStore.Copy items, Set<String> upstreams) {}

    /** What became of the streams that callers resumed. */
    record Resumed(int goneOn, int joined, int refused) {

        int all() {
            return goneOn + joined + refused;
        }
    }

    private final class Caller {

        private final String identifier;
        private SimulatedExchange.Vm vm;
        private String version;
        private boolean isEnded;

        private Caller(String identifier) {
            this.identifier = identifier;
        }

        private void begin() {
            vm = anyRunningVm();
            List<String> candidates = livingVersions();
            Set<String> admissible = vm.streams.registry().admissibleVersions(SERVICE, exchange.now());
            List<String> possible = candidates.stream()
                    .filter(candidate -> admissible.isEmpty() || admissible.contains(candidate))
                    .toList();
            if (possible.isEmpty()) {
                return;
            }
            version = possible.get(random.nextInt(possible.size()));
            begun.add(this);
            vm.streams.registry().begin(key(), new StreamOrigin(SERVICE, version), exchange.now());
            exchange.after(MINIMUM_LIFE_MILLISECONDS + random.nextInt(LIFE_SPREAD_MILLISECONDS), this::finish);
        }

        private StreamKey key() {
            return StreamKey.of(TEAM, identifier);
        }

        private void finish() {
            if (isEnded) {
                return;
            }
            if (vm.isAlive && random.nextDouble() >= breakingShare) {
                isEnded = true;
                vm.streams.registry().end(key(), exchange.now());
            } else {
                comeBack();
            }
        }

        /** Resumes the stream at another VM, within the time in which callers return. */
        private void comeBack() {
            isEnded = true;
            exchange.after(random.nextInt(maximumReturnMilliseconds), () -> sendTo(anyReachableVm()));
        }

        /** Lets the request wait in the VM's socket while the VM stands still. */
        private void sendTo(SimulatedExchange.Vm other) {
            if (other.isFrozen) {
                other.runWhenAwake(() -> resume(other));
            } else {
                resume(other);
            }
        }

        private void resume(SimulatedExchange.Vm other) {
            if (!other.isAlive || !other.hasListed) {
                exchange.after(POLL_MILLISECONDS, () -> resume(anyLiveVm()));
                return;
            }
            StreamRegistry.Resumption resumption =
                    other.streams.registry().resume(Optional.of(key()), SERVICE, exchange.now());
            switch (resumption) {
                case StreamRegistry.Resumption.Pending pending ->
                    exchange.after(POLL_MILLISECONDS, () -> sendTo(other));
                case StreamRegistry.Resumption.Refused refusal -> refused++;
                case StreamRegistry.Resumption.Bound bound
                when !livingVersions().contains(bound.softwareVersion()) -> refused++;
                case StreamRegistry.Resumption.Bound bound
                when bound.softwareVersion().equals(version) -> goneOn++;
                case StreamRegistry.Resumption.Bound bound -> joined++;
            }
        }
    }

    private final SimulatedExchange exchange;
    private final Random random;
    private final List<Caller> begun = new ArrayList<>();
    private Optional<SimulatedExchange.Vm> favoured = Optional.empty();
    private double breakingShare;
    private int maximumReturnMilliseconds = MAXIMUM_RETURN_MILLISECONDS;
    private int lastIdentifier;
    private int lastUpstream;
    private int goneOn;
    private int joined;
    private int refused;

    MixedVersionFleet(int vms, int domains, long seed, String... versions) {
        exchange = new SimulatedExchange(vms, domains, 0, List.of(), seed);
        random = new Random(seed);
        for (String version : versions) {
            addVersion(version);
        }
        exchange.run(6_000);
    }

    SimulatedExchange exchange() {
        return exchange;
    }

    void addVersion(String version) {
        List<UpstreamDescription> added = new ArrayList<>();
        for (int number = 0; number < 3; number++) {
            added.add(new UpstreamDescription(
                    "i-" + ++lastUpstream,
                    1,
                    SERVICE,
                    version,
                    new InetSocketAddress(1),
                    "domain-0",
                    64,
                    false,
                    0,
                    List.of(),
                    Set.of()));
        }
        exchange.addUpstreams(added);
    }

    void removeVersion(String version) {
        exchange.upstreams().stream()
                .filter(upstream -> upstream.softwareVersion().equals(version))
                .map(UpstreamDescription::identifier)
                .toList()
                .forEach(exchange::removeUpstream);
    }

    /**
     * Lets the store come back from a copy, to which upstreams that have registered since write their entries again
     * within two seconds.
     */
    void comeBackFrom(Copy copy) {
        Set<String> registeredSince = exchange.upstreams().stream()
                .map(UpstreamDescription::identifier)
                .filter(identifier -> !copy.upstreams().contains(identifier))
                .collect(Collectors.toSet());
        exchange.comeBackFrom(copy.items(), registeredSince, MAXIMUM_ABSENCE_MILLISECONDS);
    }

    Copy copy() {
        Set<String> registered = exchange.upstreams().stream()
                .map(UpstreamDescription::identifier)
                .collect(Collectors.toSet());
        return new Copy(exchange.store.copy(), registered);
    }

    private List<String> livingVersions() {
        return exchange.upstreams().stream()
                .map(UpstreamDescription::softwareVersion)
                .distinct()
                .toList();
    }

    private SimulatedExchange.Vm anyLiveVm() {
        List<SimulatedExchange.Vm> live =
                exchange.vms.stream().filter(vm -> vm.isAlive).toList();
        List<SimulatedExchange.Vm> chosenFrom = live.isEmpty() ? exchange.vms : live;
        return chosenFrom.get(random.nextInt(chosenFrom.size()));
    }

    private SimulatedExchange.Vm anyRunningVm() {
        List<SimulatedExchange.Vm> running =
                exchange.vms.stream().filter(vm -> vm.isAlive && !vm.isFrozen).toList();
        return running.isEmpty() ? anyLiveVm() : running.get(random.nextInt(running.size()));
    }

    /** Returns the VM that callers are sent to: the one that is out of step, if one is, since all fail there. */
    private SimulatedExchange.Vm anyReachableVm() {
        return favoured.orElseGet(this::anyLiveVm);
    }

    /** Sends all callers that resume streams to one VM. */
    void favour(int index) {
        favoured = Optional.of(exchange.vms.get(index));
    }

    /** Sets within which time callers resume a stream that broke off. */
    void setReturnTime(int maximumMilliseconds) {
        maximumReturnMilliseconds = maximumMilliseconds;
    }

    /** Lets callers begin streams at a steady rate, of which a share breaks off and is resumed at another VM. */
    void send(int streamsPerSecond, double share, long durationMilliseconds) {
        breakingShare = share;
        long streams = streamsPerSecond * durationMilliseconds / 1_000;
        for (long number = 0; number < streams; number++) {
            exchange.after((long) (random.nextDouble() * durationMilliseconds), this::beginOne);
        }
        exchange.run(durationMilliseconds);
    }

    private void beginOne() {
        if (anyLiveVm().isAlive) {
            new Caller("request-" + ++lastIdentifier).begin();
        }
    }

    /** Kills a VM, whose callers resume their streams elsewhere at once. */
    void kill(int index, long downMilliseconds) {
        SimulatedExchange.Vm killed = exchange.vms.get(index);
        exchange.restart(index, downMilliseconds);
        begun.stream().filter(caller -> caller.vm == killed && !caller.isEnded).forEach(Caller::comeBack);
    }

    void killAll(long downMilliseconds) {
        for (int index = 0; index < exchange.vms.size(); index++) {
            kill(index, downMilliseconds);
        }
    }

    Resumed resumed() {
        return new Resumed(goneOn, joined, refused);
    }

    /** Returns the streams that have begun at a version since the start. */
    long countBegunAt(String version) {
        return begun.stream().filter(caller -> caller.version.equals(version)).count();
    }

    MonotonicTime now() {
        return exchange.now();
    }
}
