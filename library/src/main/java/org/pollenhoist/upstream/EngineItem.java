package org.pollenhoist.upstream;

import java.util.Comparator;
import org.pollenhoist.common.AdapterName;
import org.pollenhoist.common.ModelName;

/**
 * Something that an engine holds in accelerator memory. An engine holds at most one copy of each item.
 *
 * @param kind model or adapter
 * @param name the model's name; for an adapter the model's and the adapter's name, joined by a slash
 * @param version the model's version
 */
public record EngineItem(Kind kind, String name, String version) implements Comparable<EngineItem> {

    private static final Comparator<EngineItem> ORDER = Comparator.comparing(EngineItem::kind)
            .thenComparing(EngineItem::name)
            .thenComparing(EngineItem::version);

    /** The kinds of items. */
    public enum Kind {
        /** The weights of a model. */
        MODEL,
        /** An adapter beside its base model. */
        ADAPTER
    }

    /**
     * Returns the item of a model.
     *
     * @param model the model
     * @param version its version
     * @return the item
     */
    public static EngineItem model(ModelName model, String version) {
        return new EngineItem(Kind.MODEL, model.value(), version);
    }

    /**
     * Returns the item of an adapter.
     *
     * @param model its base model
     * @param adapter the adapter
     * @param version the base model's version
     * @return the item
     */
    public static EngineItem adapter(ModelName model, AdapterName adapter, String version) {
        return new EngineItem(Kind.ADAPTER, model.value() + "/" + adapter.value(), version);
    }

    /**
     * Returns the name of the model that the item belongs to.
     *
     * @return the model's name; for an adapter its base model's name
     */
    public String modelName() {
        int slash = name.indexOf('/');
        return slash < 0 ? name : name.substring(0, slash);
    }

    @Override
    public int compareTo(EngineItem other) {
        return ORDER.compare(this, other);
    }
}
