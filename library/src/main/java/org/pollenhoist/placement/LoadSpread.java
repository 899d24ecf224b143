package org.pollenhoist.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.pollenhoist.common.ModelName;

/**
 * How the demand of all models spreads over their copies when each request goes to the least loaded copy. Found by
 * levelling the models one after another, a few times over.
 */
final class LoadSpread {

    private static final int PASSES = 4;

    private final Map<ModelName, List<EngineDraft>> holders = new TreeMap<>();
    private final Map<ModelName, double[]> parts = new TreeMap<>();
    private final Map<ModelName, Double> demand;

    private LoadSpread(Map<ModelName, Double> demand) {
        this.demand = demand;
    }

    static LoadSpread of(Map<ModelName, Double> demand, List<EngineDraft> engines) {
        LoadSpread spread = new LoadSpread(demand);
        for (EngineDraft engine : engines) {
            engine.clearLoad();
            for (ModelName model : engine.copies()) {
                spread.holders.computeIfAbsent(model, name -> new ArrayList<>()).add(engine);
            }
        }
        spread.holders.forEach((model, list) -> spread.parts.put(model, new double[list.size()]));
        for (int pass = 0; pass < PASSES; pass++) {
            spread.holders.keySet().forEach(spread::level);
        }
        return spread;
    }

    /** Levels a model again after it has gained a copy on an engine. */
    void addCopy(ModelName model, EngineDraft engine) {
        List<EngineDraft> list = holders.computeIfAbsent(model, name -> new ArrayList<>());
        list.add(engine);
        double[] old = parts.getOrDefault(model, new double[0]);
        double[] grown = new double[list.size()];
        System.arraycopy(old, 0, grown, 0, old.length);
        parts.put(model, grown);
        level(model);
    }

    /** Levels a model again after it has lost its copy on an engine. */
    void removeCopy(ModelName model, EngineDraft engine) {
        List<EngineDraft> list = holders.get(model);
        double[] old = parts.get(model);
        int index = list.indexOf(engine);
        engine.addLoad(-old[index]);
        double[] shrunk = new double[old.length - 1];
        System.arraycopy(old, 0, shrunk, 0, index);
        System.arraycopy(old, index + 1, shrunk, index, shrunk.length - index);
        list.remove(index);
        parts.put(model, shrunk);
        level(model);
    }

    private void level(ModelName model) {
        List<EngineDraft> list = holders.get(model);
        double[] part = parts.get(model);
        double whole = demand.getOrDefault(model, 0.0);
        for (int index = 0; index < part.length; index++) {
            list.get(index).addLoad(-part[index]);
            part[index] = 0;
        }
        List<Integer> bySpare = new ArrayList<>();
        for (int index = 0; index < part.length; index++) {
            bySpare.add(index);
        }
        bySpare.sort(Comparator.comparingDouble(index -> -list.get(index).spareSequences()));
        fill(list, part, bySpare, whole);
    }

    private static void fill(List<EngineDraft> list, double[] part, List<Integer> bySpare, double whole) {
        double sum = 0;
        int used = 0;
        double level = 0;
        while (used < bySpare.size()) {
            sum += list.get(bySpare.get(used)).spareSequences();
            used++;
            level = (sum - whole) / used;
            boolean isLast = used == bySpare.size();
            if (isLast || list.get(bySpare.get(used)).spareSequences() <= level) {
                break;
            }
        }
        for (int place = 0; place < used; place++) {
            int index = bySpare.get(place);
            double amount = Math.max(0, list.get(index).spareSequences() - level);
            part[index] = amount;
            list.get(index).addLoad(amount);
        }
    }

    /** Returns the part of a model's demand that its copies can't serve, in concurrent sequences. */
    double unserved(ModelName model) {
        List<EngineDraft> list = holders.get(model);
        double whole = demand.getOrDefault(model, 0.0);
        if (list == null || list.isEmpty()) {
            return whole;
        }
        double unserved = 0;
        double[] part = parts.get(model);
        for (int index = 0; index < part.length; index++) {
            EngineDraft engine = list.get(index);
            double excess = -engine.spareSequences();
            if (excess > 0 && engine.load() > 0) {
                unserved += excess * part[index] / engine.load();
            }
        }
        return unserved;
    }

    /** Returns what would go unserved more, in concurrent sequences, if a model lost its copy on an engine. */
    double worth(ModelName model, EngineDraft engine) {
        List<EngineDraft> list = holders.getOrDefault(model, List.of());
        int index = list.indexOf(engine);
        if (index < 0) {
            return 0;
        }
        double spareElsewhere = 0;
        for (EngineDraft other : list) {
            if (other != engine) {
                spareElsewhere += Math.max(0, other.spareSequences());
            }
        }
        return Math.max(0, parts.get(model)[index] - spareElsewhere);
    }

    int copyCount(ModelName model) {
        return holders.getOrDefault(model, List.of()).size();
    }
}
