package org.pollenhoist.entry;

import org.pollenhoist.configuration.Configuration;
import org.pollenhoist.configuration.KeyTable;

/**
 * What a VM works by.
 *
 * @param configuration the configuration in force
 * @param keys its keys, for look-up
 */
record InForce(Configuration configuration, KeyTable keys) {}
