package org.pollenhoist.serving.placement;

/**
 * A model or an adapter that a request waits for.
 *
 * @param service the service whose engines are to hold it
 * @param model the model
 * @param adapter the adapter of it, empty for the model itself
 */
public record ModelRequest(String service, String model, String adapter) {}
