package org.pollenhoist.entry;

import org.pollenhoist.configuration.Configuration;

/**
 * The configuration that a VM works by.
 *
 * @param revision its revision
 * @param configuration its content
 */
public record InForce(long revision, Configuration configuration) {}
