package org.pollenhoist.placement;

import java.util.ArrayList;
import java.util.List;
import org.pollenhoist.configuration.Model;
import org.pollenhoist.upstream.EngineItem;

/** The accelerator memory that a whole copy of a model takes. */
final class Footprint {

    private Footprint() {}

    static long bytes(Model model) {
        return model.memoryBytes() + model.adapters().size() * model.adapterMemoryBytes();
    }

    static EngineItem modelItem(Model model) {
        return EngineItem.model(model.name(), model.version());
    }

    static List<EngineItem> adapterItems(Model model) {
        List<EngineItem> items = new ArrayList<>();
        model.adapters().stream()
                .sorted()
                .forEach(adapter -> items.add(EngineItem.adapter(model.name(), adapter, model.version())));
        return items;
    }
}
