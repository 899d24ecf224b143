package org.pollenhoist.serving.placement;

/** An order that an engine executes. The names of the records and their components appear in the decision log. */
public sealed interface EngineOrder {

    /**
     * Returns the model to which the order applies.
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
     * Unloads a model with its adapters.
     *
     * @param model the model
     */
    record UnloadModel(String model) implements EngineOrder {}

    /**
     * Loads an adapter of a resident model.
     *
     * @param model the model
     * @param adapter the adapter
     */
    record LoadAdapter(String model, String adapter) implements EngineOrder {}

    /**
     * Unloads an adapter.
     *
     * @param model the model
     * @param adapter the adapter
     */
    record UnloadAdapter(String model, String adapter) implements EngineOrder {}
}
