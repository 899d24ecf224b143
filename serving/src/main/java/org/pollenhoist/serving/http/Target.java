package org.pollenhoist.serving.http;

import java.net.InetSocketAddress;

/**
 * Where connections lead. Addresses are used again by other processes, so connections are kept apart by lifetime too.
 *
 * @param address the address
 * @param lifetime tells processes at one address apart
 */
public record Target(InetSocketAddress address, String lifetime) {}
