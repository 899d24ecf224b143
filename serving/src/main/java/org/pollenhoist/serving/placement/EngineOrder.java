package org.pollenhoist.serving.placement;

/** What an engine can be ordered to do. */
public sealed interface EngineOrder {

    /**
     * Returns the model that the order is about.
     *
     * @return the model's name
     */
    String model();

    /**
     * Loads a model.
     *
     * @param model the model
     */
    record LoadModel(String model) implements EngineOrder {}

    /**
     * Drops a model with its adapters.
     *
     * @param model the model
     */
    record UnloadModel(String model) implements EngineOrder {}

    /**
     * Loads an adapter of a model that is there.
     *
     * @param model the model
     * @param adapter the adapter
     */
    record LoadAdapter(String model, String adapter) implements EngineOrder {}

    /**
     * Drops an adapter.
     *
     * @param model the model
     * @param adapter the adapter
     */
    record UnloadAdapter(String model, String adapter) implements EngineOrder {}
}
