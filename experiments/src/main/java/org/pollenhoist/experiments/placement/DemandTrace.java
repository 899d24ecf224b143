package org.pollenhoist.experiments.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.configuration.Model;

/**
 * Requests whose rate moves tenfold within an hour, for each model on its own. The same for all strategies of a run.
 */
final class DemandTrace {

    static final double MEAN_SERVICE_SECONDS = 3;
    private static final double LARGEST_SERVICE_SECONDS = 12;
    private static final double SWING = Math.sqrt(10);
    private static final double POPULARITY_EXPONENT = 0.5;
    private static final double SHORTEST_HOLD_SECONDS = 300;
    private static final double HOLD_RANGE_SECONDS = 1500;
    private static final double SHORTEST_RAMP_SECONDS = 60;
    private static final double RAMP_RANGE_SECONDS = 300;
    private static final int TEAMS = 5;

    /** One request. */
    record Request(double arrival, ModelName model, double serviceSeconds, int team) {}

    private record Knot(double at, double logFactor) {}

    private final Map<ModelName, Double> meanRates = new TreeMap<>();
    private final Map<ModelName, List<Knot>> factors = new HashMap<>();
    private final Map<ModelName, Integer> teams = new HashMap<>();
    private final double seconds;
    private final Random random;

    DemandTrace(long seed, Collection<Model> models, Map<String, Double> requestsPerSecond, double seconds) {
        this.random = new Random(seed);
        this.seconds = seconds;
        Map<String, Double> weightSums = new HashMap<>();
        Map<ModelName, Double> weights = new HashMap<>();
        int rank = 0;
        for (Model model : models) {
            rank++;
            double weight = Math.pow(rank, -POPULARITY_EXPONENT);
            weights.put(model.name(), weight);
            weightSums.merge(model.pool(), weight, Double::sum);
            factors.put(model.name(), knots());
            // A few teams are large: the first team owns half of the models, the second a quarter, and so on.
            int team = Math.min(TEAMS - 1, Integer.numberOfTrailingZeros(rank | 1 << (TEAMS - 1)));
            teams.put(model.name(), team);
        }
        for (Model model : models) {
            double part = weights.get(model.name()) / weightSums.get(model.pool());
            meanRates.put(model.name(), part * requestsPerSecond.get(model.pool()));
        }
        normalise();
    }

    private List<Knot> knots() {
        List<Knot> knots = new ArrayList<>();
        double at = -random.nextDouble() * HOLD_RANGE_SECONDS;
        double level = logLevel();
        knots.add(new Knot(at, level));
        while (at < 2 * seconds + HOLD_RANGE_SECONDS) {
            at += SHORTEST_HOLD_SECONDS + random.nextDouble() * HOLD_RANGE_SECONDS;
            knots.add(new Knot(at, level));
            at += SHORTEST_RAMP_SECONDS + random.nextDouble() * RAMP_RANGE_SECONDS;
            level = logLevel();
            knots.add(new Knot(at, level));
        }
        return knots;
    }

    private double logLevel() {
        return (2 * random.nextDouble() - 1) * Math.log(SWING);
    }

    /** Scales the mean of each model's rate over the run to its mean rate. */
    private void normalise() {
        int samples = 200;
        for (Map.Entry<ModelName, Double> entry : meanRates.entrySet()) {
            double sum = 0;
            for (int sample = 0; sample < samples; sample++) {
                sum += factor(entry.getKey(), seconds * sample / samples);
            }
            entry.setValue(entry.getValue() * samples / sum);
        }
    }

    private double factor(ModelName model, double at) {
        List<Knot> knots = factors.get(model);
        int index = 1;
        while (index < knots.size() - 1 && knots.get(index).at() < at) {
            index++;
        }
        Knot before = knots.get(index - 1);
        Knot after = knots.get(index);
        double part = Math.clamp((at - before.at()) / (after.at() - before.at()), 0, 1);
        return Math.exp(before.logFactor() + part * (after.logFactor() - before.logFactor()));
    }

    /** Returns a model's requests a second at a time. */
    double rate(ModelName model, double at) {
        return meanRates.get(model) * factor(model, at);
    }

    /** Returns a model's mean requests a second. */
    double meanRate(ModelName model) {
        double sum = 0;
        int samples = 100;
        for (int sample = 0; sample < samples; sample++) {
            sum += rate(model, seconds * sample / samples);
        }
        return sum / samples;
    }

    List<Request> requests() {
        List<Request> requests = new ArrayList<>();
        for (ModelName model : meanRates.keySet()) {
            double peak = meanRates.get(model) * SWING;
            double at = 0;
            while (true) {
                at += -Math.log(1 - random.nextDouble()) / peak;
                if (at >= seconds) {
                    break;
                }
                if (random.nextDouble() * peak < rate(model, at)) {
                    double service = -Math.log(1 - random.nextDouble()) * MEAN_SERVICE_SECONDS;
                    requests.add(new Request(at, model, Math.min(service, LARGEST_SERVICE_SECONDS), teams.get(model)));
                }
            }
        }
        requests.sort(java.util.Comparator.comparingDouble(Request::arrival));
        return requests;
    }
}
