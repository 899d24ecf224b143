package org.pollenhoist.serving.placement;

/**
 * A model or an adapter for which a request is queued.
 *
 * @param service the service whose engines are to load it
 * @param model the model
 * @param adapter the adapter of the model, empty for the model itself
 */
public record ModelRequest(String service, String model, String adapter) {}
