package org.pollenhoist.standins.engine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.pollenhoist.standins.engine.EngineReport.Resident;

/**
 * An engine without I/O or clock: continuous batching of a bounded number of sequences, bounded memory, a prefix cache,
 * late orders and lagged reports. The present time is an argument, counted from any origin, and never goes back.
 *
 * <p>Not safe for use by several threads; the process around it holds one lock.
 */
public final class EngineModel {

    private final EngineSettings settings;
    private final String incarnation;
    private final EngineMemory memory;
    private final PrefixCache cache;
    private final List<Sequence> running = new ArrayList<>();
    private final List<Sequence> waiting = new ArrayList<>();
    private final Deque<TimedReport> reports = new ArrayDeque<>();
    private long reportSequence;
    private long submissions;

    /**
     * Creates an empty engine.
     *
     * @param settings how it behaves
     * @param incarnation differs from that of its predecessors
     */
    public EngineModel(EngineSettings settings, String incarnation) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.memory = new EngineMemory(settings);
        this.cache = new PrefixCache(settings);
        recordReport(Duration.ZERO);
    }

    /**
     * Puts a model or adapter into memory before the engine begins to serve.
     *
     * @param resident what to hold
     */
    public void holdAtStart(Resident resident) {
        memory.holdAtStart(resident);
        recordReport(Duration.ZERO);
    }

    /**
     * Tells whether a model or adapter can serve, as of the last advance.
     *
     * @param name its name
     * @return whether it is ready
     */
    public boolean isReady(String name) {
        return memory.isReady(name);
    }

    /**
     * Takes in a sequence; it begins at once or waits for a place.
     *
     * @param submission what to run
     * @param now the present time
     */
    public void submit(Submission submission, Duration now) {
        submissions++;
        waiting.add(new Sequence(submission, submissions));
        beginWaiting(now);
        recordReport(now);
    }

    /**
     * Takes a sequence out.
     *
     * @param identifier the sequence
     * @param now the present time
     */
    public void cancel(String identifier, Duration now) {
        running.removeIf(sequence -> sequence.submission.identifier().equals(identifier));
        waiting.removeIf(sequence -> sequence.submission.identifier().equals(identifier));
        beginWaiting(now);
        recordReport(now);
    }

    /**
     * Carries out what is due up to the present.
     *
     * @param now the present time
     * @return the tokens that came out, in the order of their time
     */
    public List<Token> advance(Duration now) {
        List<Token> tokens = new ArrayList<>();
        Optional<Duration> next = nextChange();
        while (next.isPresent() && next.get().compareTo(now) <= 0) {
            boolean hasChanged = advanceTo(next.get(), tokens);
            if (!hasChanged) {
                break;
            }
            next = nextChange();
        }
        return tokens;
    }

    private boolean advanceTo(Duration time, List<Token> tokens) {
        boolean hasChanged = false;
        for (Sequence sequence : List.copyOf(running)) {
            while (!sequence.isDone() && sequence.nextToken.compareTo(time) <= 0) {
                tokens.add(sequence.takeToken(settings.timePerToken()));
                hasChanged = true;
            }
        }
        boolean hasFinished = running.removeIf(Sequence::isDone);
        if (hasFinished) {
            beginWaiting(time);
        }
        boolean hasMemoryChanged = memory.advance(time, namesInUse());
        if (hasFinished || hasMemoryChanged) {
            recordReport(time);
        }
        return hasChanged || hasMemoryChanged;
    }

    /**
     * Returns when something is due next.
     *
     * @return the time, empty where nothing is
     */
    public Optional<Duration> nextChange() {
        Optional<Duration> token =
                running.stream().map(sequence -> sequence.nextToken).min(Duration::compareTo);
        Optional<Duration> order = memory.nextChange(namesInUse());
        if (token.isPresent() && order.isPresent()) {
            return Optional.of(token.get().compareTo(order.get()) <= 0 ? token.get() : order.get());
        }
        return token.or(() -> order);
    }

    /**
     * Takes an order.
     *
     * @param order the order
     * @param now the present time
     * @return what the engine answers
     */
    public EngineOrder.Answer order(EngineOrder order, Duration now) {
        EngineOrder.Answer answer = memory.accept(order, now);
        recordReport(now);
        return answer;
    }

    /**
     * Returns the report that shows now, which lags.
     *
     * @param isLeaving whether the engine is about to stop
     * @param now the present time
     * @return the report
     */
    public EngineReport report(boolean isLeaving, Duration now) {
        Duration shown = now.minus(settings.reportLag());
        while (reports.size() > 1 && secondReport().time().compareTo(shown) <= 0) {
            reports.removeFirst();
        }
        Duration age = settings.reportLag().compareTo(now) < 0 ? settings.reportLag() : now;
        return reports.getFirst().report().at(age.toMillis(), isLeaving);
    }

    /**
     * Returns the changes of the prefix cache that show now, late and with gaps.
     *
     * @param after the number of the last event known
     * @param now the present time
     * @return the events
     */
    public List<CacheEvent> cacheEvents(long after, Duration now) {
        return cache.eventsAfter(after, now);
    }

    /**
     * Returns what lies in memory now, without lag.
     *
     * @return the residents
     */
    public List<Resident> residents() {
        return memory.residents();
    }

    private TimedReport secondReport() {
        var iterator = reports.iterator();
        iterator.next();
        return iterator.next();
    }

    private void beginWaiting(Duration now) {
        Comparator<Sequence> byPriority = Comparator.comparingInt(sequence -> -sequence.submission.priority());
        waiting.sort(byPriority.thenComparingLong(sequence -> sequence.number));
        while (running.size() < settings.concurrentSequences() && !waiting.isEmpty()) {
            Sequence sequence = waiting.remove(0);
            Submission submission = sequence.submission;
            boolean isCached = cache.use(submission.model(), submission.prefix(), now);
            sequence.nextToken = now.plus(isCached ? settings.cachedFirstTokenTime() : settings.firstTokenTime());
            running.add(sequence);
        }
    }

    private Set<String> namesInUse() {
        Set<String> names = new HashSet<>();
        running.forEach(sequence -> names.add(sequence.submission.model()));
        waiting.forEach(sequence -> names.add(sequence.submission.model()));
        return names;
    }

    private void recordReport(Duration now) {
        reportSequence++;
        EngineReport report = new EngineReport(
                settings.name(),
                incarnation,
                reportSequence,
                0,
                running.size(),
                waiting.size(),
                settings.memoryBytes(),
                memory.usedBytes(),
                false,
                memory.residents(),
                memory.orders(),
                memory.highestFencing());
        if (!reports.isEmpty() && reports.getLast().time().equals(now)) {
            reports.removeLast();
        }
        reports.addLast(new TimedReport(now, report));
        Duration shown = now.minus(settings.reportLag());
        while (reports.size() > 1 && secondReport().time().compareTo(shown) <= 0) {
            reports.removeFirst();
        }
    }

    /**
     * A sequence to run.
     *
     * @param identifier distinguishes it from all others of this engine
     * @param model the model or adapter that runs it
     * @param prefix the digest of the prompt's prefix
     * @param tokens how many tokens come out
     * @param priority 0 (runs last) to 9 (runs first)
     */
    public record Submission(String identifier, String model, String prefix, int tokens, int priority) {}

    /**
     * A token that came out.
     *
     * @param identifier the sequence
     * @param index its place, from 0
     * @param isLast whether the sequence is done
     */
    public record Token(String identifier, int index, boolean isLast) {}

    private record TimedReport(Duration time, EngineReport report) {}

    private static final class Sequence {
        private final Submission submission;
        private final long number;
        private Duration nextToken = Duration.ZERO;
        private int produced;

        Sequence(Submission submission, long number) {
            this.submission = submission;
            this.number = number;
        }

        boolean isDone() {
            return produced >= submission.tokens();
        }

        Token takeToken(Duration timePerToken) {
            Token token = new Token(submission.identifier(), produced, produced + 1 == submission.tokens());
            produced++;
            nextToken = nextToken.plus(timePerToken);
            return token;
        }
    }
}
