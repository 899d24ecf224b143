package org.pollenhoist.experiments.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.configuration.Upstream;
import org.pollenhoist.routing.CacheEvent;
import org.pollenhoist.routing.UpstreamReport;

/** One run of one way to choose over a trace: a queue of events in simulated time. */
final class Simulation {

    /** Requests that arrive before this are not measured, while caches fill. */
    private static final long WARM_UP_NANOSECONDS = Duration.ofSeconds(20).toNanos();

    private static final long REPORT_LAG_NANOSECONDS = Duration.ofMillis(200).toNanos();
    private static final long CACHE_EVENT_LAG_NANOSECONDS =
            Duration.ofSeconds(1).toNanos();
    private static final double CACHE_EVENT_LOSS = 0.002;
    private static final int HISTOGRAM_DIGITS = 3;

    private final Deployment deployment;
    private final List<Upstream> upstreams;
    private final List<SimulatedEngine> engines;
    private final List<SimulatedRequest> trace;
    private final List<RoutingStrategy> vms;
    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparingLong(Event::number));
    private final Histogram firstToken = new Histogram(HISTOGRAM_DIGITS);
    private long nextEvent;
    private long present;
    private long allBlocks;
    private long cachedBlocks;
    private long otherDomain;

    private record Event(long time, long number, Runnable action) {}

    Simulation(
            Deployment deployment,
            List<Upstream> upstreams,
            List<SimulatedEngine> engines,
            List<SimulatedRequest> trace,
            List<RoutingStrategy> vms,
            Random random) {
        this.deployment = deployment;
        this.upstreams = upstreams;
        this.engines = engines;
        this.trace = trace;
        this.vms = vms;
        this.random = random;
    }

    StrategyResult run(String strategy) {
        long end = trace.getLast().arrival();
        for (int engine = 0; engine < engines.size(); engine++) {
            int reporting = engine;
            long phase = deployment.reportInterval().toNanos() * engine / engines.size();
            deliver(snapshot(reporting, 0), 0);
            at(phase, () -> report(reporting, end));
        }
        for (int number = 0; number < trace.size(); number++) {
            int arriving = number;
            at(trace.get(number).arrival(), () -> arrive(arriving));
        }
        while (!events.isEmpty()) {
            Event event = events.poll();
            present = event.time();
            event.action().run();
        }
        return new StrategyResult(
                strategy,
                firstToken.getTotalCount(),
                milliseconds(50),
                milliseconds(95),
                milliseconds(99),
                (double) cachedBlocks / allBlocks,
                (double) otherDomain / firstToken.getTotalCount());
    }

    private double milliseconds(double percentile) {
        return firstToken.getValueAtPercentile(percentile) / 1e3;
    }

    private void at(long time, Runnable action) {
        events.add(new Event(time, nextEvent++, action));
    }

    private void arrive(int number) {
        SimulatedRequest request = trace.get(number);
        int engine = engineOf(request, number);
        boolean isLocal = upstreams.get(engine).failureDomain().equals(deployment.domainOf(request.vm()));
        long network = isLocal ? 0 : deployment.betweenDomains().toNanos();
        if (!isLocal && isMeasured(request)) {
            otherDomain++;
        }
        at(request.arrival() + network, () -> {
            engines.get(engine).enqueue(request, number);
            start(engine, request.arrival() + network);
        });
    }

    private int engineOf(SimulatedRequest request, int number) {
        String chosen = vms.get(request.vm())
                .choose(request, number, new MonotonicTime(request.arrival()))
                .value();
        return Integer.parseInt(chosen.substring(chosen.lastIndexOf('-') + 1));
    }

    private void start(int engine, long now) {
        for (SimulatedEngine.Started started : engines.get(engine).startWaiting(now)) {
            SimulatedRequest request = trace.get(started.trace());
            if (isMeasured(request)) {
                firstToken.recordValue((started.firstToken() - request.arrival()) / 1_000);
                allBlocks += request.prefixes().size();
                cachedBlocks += started.cachedBlocks();
            }
            at(started.end(), () -> {
                engines.get(engine).end();
                vms.get(request.vm()).ended(started.trace(), new MonotonicTime(started.end()));
                start(engine, started.end());
            });
        }
    }

    private boolean isMeasured(SimulatedRequest request) {
        return request.arrival() >= WARM_UP_NANOSECONDS;
    }

    private void report(int engine, long end) {
        long now = present;
        UpstreamReport report = snapshot(engine, REPORT_LAG_NANOSECONDS);
        at(now + REPORT_LAG_NANOSECONDS, () -> deliver(report, now + REPORT_LAG_NANOSECONDS));
        List<CacheEvent> cacheEvents = new ArrayList<>(engines.get(engine).takeEvents());
        cacheEvents.removeIf(event -> random.nextDouble() < CACHE_EVENT_LOSS);
        RoutingStrategy poller = vms.get(engine % vms.size());
        at(
                now + CACHE_EVENT_LAG_NANOSECONDS,
                () -> poller.cacheEvents(upstreams.get(engine).name(), cacheEvents));
        long next = now + deployment.reportInterval().toNanos();
        if (next < end) {
            at(next, () -> report(engine, end));
        }
    }

    private UpstreamReport snapshot(int number, long age) {
        SimulatedEngine engine = engines.get(number);
        return new UpstreamReport(
                upstreams.get(number).name(),
                1,
                engine.running(),
                engine.waiting(),
                0,
                Set.copyOf(engine.models()),
                engine.adapters(),
                false,
                Duration.ofNanos(age));
    }

    private void deliver(UpstreamReport report, long now) {
        vms.forEach(vm -> vm.report(report, new MonotonicTime(now)));
    }
}
