package org.pollenhoist.serving.http;

import java.net.InetSocketAddress;

/**
 * The process to which connections are opened. Another process may later use the same address, so connections are also
 * distinguished by the lifetime of the process.
 *
 * @param address the address
 * @param lifetime distinguishes the processes that use the address one after another
 */
public record Target(InetSocketAddress address, String lifetime) {}
