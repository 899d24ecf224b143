package org.pollenhoist.serving.stream;

/**
 * What wrote the first event of a stream.
 *
 * @param service the service
 * @param softwareVersion the software version of the upstream
 */
public record StreamOrigin(String service, String softwareVersion) {}
