package org.pollenhoist.acceptance;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.UncheckedIOException;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.pollenhoist.experiments.processes.Fleet;
import org.pollenhoist.experiments.processes.FleetMember;
import org.pollenhoist.experiments.processes.FleetPlan;
import org.pollenhoist.experiments.processes.HttpCalls;

/** Restarts all entry VMs in turn while callers send to those that are ready, as a balancer would let them. */
final class RestartUnderLoad {

    private static final Duration PATIENCE = Duration.ofSeconds(20);

    private final Queue<String> failures = new ConcurrentLinkedQueue<>();
    private final AtomicInteger answered = new AtomicInteger();

    int answered() {
        return answered.get();
    }

    List<String> refusals() {
        return failures.stream().filter(RestartUnderLoad::isRateLimited).toList();
    }

    List<String> cuts() {
        return failures.stream().filter(failure -> !isRateLimited(failure)).toList();
    }

    private static boolean isRateLimited(String failure) {
        return failure.contains("\"rate_limited\"") && failure.contains("\"not_run\":true");
    }

    void run(String folder) throws InterruptedException {
        FleetPlan plan = FleetPlan.thalassa(3);
        try (Fleet fleet = Fleet.start(plan, Path.of("target", "fleets", folder))) {
            String key = RequestLifeTest.giveKey(fleet);
            RequestLifeTest.awaitAccepted(fleet, key);
            AtomicBoolean isOver = new AtomicBoolean();
            List<FleetMember> ready = new ArrayList<>(fleet.entries());
            List<Thread> callers = new ArrayList<>();
            for (int caller = 0; caller < 6; caller++) {
                int number = caller;
                callers.add(Thread.ofPlatform().start(() -> load(number, key, ready, isOver)));
            }
            for (FleetMember entry : fleet.entries()) {
                CompletableFuture<Integer> stopping =
                        CompletableFuture.supplyAsync(() -> entry.process().stop());
                await().atMost(PATIENCE).until(() -> !isReady(entry));
                synchronized (ready) {
                    ready.remove(entry);
                }
                assertThat(stopping.join()).isZero();
                FleetMember restarted = fleet.restartEntry(entry.name());
                synchronized (ready) {
                    ready.add(restarted);
                }
            }
            isOver.set(true);
            for (Thread caller : callers) {
                caller.join();
            }
            long refused =
                    failures.stream().filter(RestartUnderLoad::isRateLimited).count();
            System.out.println("rolling_restart answered=" + answered + " rate_limited=" + refused + " failed="
                    + (failures.size() - refused));
        }
    }

    private boolean isReady(FleetMember entry) {
        return new HttpCalls().status(entry.uri("/health/ready")).equals(Optional.of(200));
    }

    private void load(int caller, String key, List<FleetMember> ready, AtomicBoolean isOver) {
        for (int number = 0; !isOver.get(); number++) {
            FleetMember entry;
            synchronized (ready) {
                entry = ready.get((caller + number) % ready.size());
            }
            String marker = "restart-" + caller + "-" + number;
            try {
                HttpResponse<String> answer = number % 2 == 0
                        ? RequestLifeTest.complete(entry, key, marker)
                        : bookWithoutKey(entry, key, marker);
                if (answer.statusCode() == 200) {
                    answered.incrementAndGet();
                } else {
                    failures.add(entry.name() + " " + answer.statusCode() + " " + answer.body());
                }
            } catch (UncheckedIOException failure) {
                failures.add(entry.name() + " " + failure.getMessage());
            }
        }
    }

    private HttpResponse<String> bookWithoutKey(FleetMember entry, String key, String marker) {
        return new HttpCalls()
                .call(
                        "POST",
                        entry.uri("/bookings"),
                        "marker=" + marker,
                        "Authorization",
                        "Bearer " + key,
                        "X-Pollenhoist-Profile",
                        "quay-briefing");
    }
}
