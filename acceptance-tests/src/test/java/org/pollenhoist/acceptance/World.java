package org.pollenhoist.acceptance;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import org.awaitility.Awaitility;
import org.pollenhoist.experiments.processes.Fleet;
import org.pollenhoist.experiments.processes.FleetMember;
import org.pollenhoist.experiments.processes.FleetPlan;
import org.pollenhoist.experiments.processes.HttpCalls;

/** What one scenario knows. The fleet may be shared with others; the marker is the scenario's own. */
public final class World {

    private static final Duration SHARE_DEADLINE = Duration.ofSeconds(30);
    private static final int RATE_LIMITED = 429;
    private static final ThreadLocal<World> CURRENT = new ThreadLocal<>();
    private static final Map<FleetPlan, Fleet> SHARED_FLEETS = new ConcurrentHashMap<>();
    private static final Set<FleetPlan> FAILED_PLANS = ConcurrentHashMap.newKeySet();
    private static final Map<Fleet, Map<String, String>> KEYS = new ConcurrentHashMap<>();

    private final boolean hasOwnFleet;
    private final HttpCalls calls = new HttpCalls();
    private String marker = newMarker();
    private Fleet fleet;
    private String key = "";
    private HttpResponse<String> answer;

    private World(boolean hasOwnFleet) {
        this.hasOwnFleet = hasOwnFleet;
    }

    static void begin(boolean hasOwnFleet) {
        CURRENT.set(new World(hasOwnFleet));
    }

    static void end() {
        World world = CURRENT.get();
        CURRENT.remove();
        if (world.hasOwnFleet && world.fleet != null) {
            world.fleet.close();
        }
    }

    static World current() {
        return CURRENT.get();
    }

    void useFleet(FleetPlan plan) {
        fleet = hasOwnFleet ? startFleet(plan) : SHARED_FLEETS.computeIfAbsent(plan, World::startFleet);
    }

    /** A fleet that has failed to start once is not tried again by each scenario. */
    private static Fleet startFleet(FleetPlan plan) {
        if (FAILED_PLANS.contains(plan)) {
            throw new AssertionError("the fleet has failed to start before: " + plan);
        }
        try {
            return Fleet.start(
                    plan, Path.of("target", "fleets", UUID.randomUUID().toString()));
        } catch (RuntimeException e) {
            FAILED_PLANS.add(plan);
            throw e;
        }
    }

    void useKeyOf(String team) {
        key = KEYS.computeIfAbsent(fleet, unused -> new ConcurrentHashMap<>()).computeIfAbsent(team, this::giveKey);
    }

    private String giveKey(String team) {
        String given = fleet.giveKey(team).reveal();
        fleet.awaitKey(given);
        fleet.entries().forEach(entry -> awaitShare(entry, given));
        return given;
    }

    /** A VM of a new fleet has no share of a team's rate for a moment, and refuses so long. */
    private void awaitShare(FleetMember entry, String given) {
        Awaitility.await()
                .atMost(SHARE_DEADLINE)
                .until(() -> calls.call("GET", entry.uri("/bookings/share"), "", "Authorization", "Bearer " + given)
                                .statusCode()
                        != RATE_LIMITED);
    }

    void useKey(String text) {
        key = text;
    }

    Fleet fleet() {
        return fleet;
    }

    FleetMember firstEntry() {
        return fleet.entries().get(0);
    }

    HttpCalls calls() {
        return calls;
    }

    String key() {
        return key;
    }

    String marker() {
        return marker;
    }

    void renewMarker() {
        marker = newMarker();
    }

    private static String newMarker() {
        return "m-" + UUID.randomUUID();
    }

    HttpResponse<String> answer() {
        return answer;
    }

    void setAnswer(HttpResponse<String> received) {
        answer = received;
    }
}
