package org.pollenhoist.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Supplier;

/**
 * One client's view of the platform's service in memory: calls and answers get lost, writes take effect late, reads
 * answer from before, and outages happen, all by the choices of a seeded generator.
 */
public class FaultyPlatform implements PlatformService {

    private final InMemoryPlatform authority;
    private final Random random;
    private final Faults faults;
    private final Runnable beforeCall;

    public FaultyPlatform(InMemoryPlatform authority, Random random, Faults faults, Runnable beforeCall) {
        this.authority = authority;
        this.random = random;
        this.faults = faults;
        this.beforeCall = beforeCall;
    }

    @Override
    public Optional<StoredValue> read(String key) {
        requireAnswer("read");
        return isChosen(faults.staleReads()) ? authority.readAsOf(key, past()) : authority.read(key);
    }

    @Override
    public Listing list(String prefix) {
        requireAnswer("list");
        return isChosen(faults.staleReads()) ? authority.listAsOf(prefix, past()) : authority.list(prefix);
    }

    private int past() {
        return Math.max(0, authority.revision() - random.nextInt(faults.staleness() + 1));
    }

    private void requireAnswer(String call) {
        beforeCall.run();
        faults.deliverLateWrites(random);
        if (faults.isDown() || isChosen(faults.lostCalls())) {
            throw PlatformUnavailableException.noAnswer(call, "fault");
        }
    }

    @Override
    public WriteOutcome compareAndSwap(
            String key, long expectedVersion, byte[] content, Optional<String> leaseIdentifier) {
        return write(() -> authority.compareAndSwap(key, expectedVersion, content, leaseIdentifier));
    }

    @Override
    public WriteOutcome remove(String key, long expectedVersion) {
        return write(() -> authority.remove(key, expectedVersion));
    }

    private WriteOutcome write(Supplier<WriteOutcome> call) {
        beforeCall.run();
        faults.deliverLateWrites(random);
        if (faults.isDown() || isChosen(faults.lostCalls())) {
            return new WriteOutcome.Unknown("lost before");
        }
        if (isChosen(faults.lateWrites())) {
            faults.addLateWrite(call);
            return new WriteOutcome.Unknown("late");
        }
        WriteOutcome outcome = call.get();
        return isChosen(faults.lostAnswers()) ? new WriteOutcome.Unknown("lost after") : outcome;
    }

    private boolean isChosen(double probability) {
        return random.nextDouble() < probability;
    }

    @Override
    public Optional<Listing> watch(String prefix, long afterRevision, Duration wait) {
        requireAnswer("watch");
        return authority.revision() > afterRevision ? Optional.of(authority.list(prefix)) : Optional.empty();
    }

    @Override
    public String grantLease(Duration duration) {
        return authority.grantLease(duration);
    }

    @Override
    public boolean renewLease(String leaseIdentifier) {
        return authority.renewLease(leaseIdentifier);
    }

    @Override
    public void revokeLease(String leaseIdentifier) {
        authority.revokeLease(leaseIdentifier);
    }

    @Override
    public List<ListedVm> listVms() {
        return authority.listVms();
    }
}
