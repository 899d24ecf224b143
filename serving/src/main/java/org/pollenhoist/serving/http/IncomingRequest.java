package org.pollenhoist.serving.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.net.InetAddress;

/**
 * A request that was read completely.
 *
 * @param head method, path and headers
 * @param body the complete body, which the receiver must release
 * @param sender the address of the sender
 */
public record IncomingRequest(HttpRequest head, ByteBuf body, InetAddress sender) {}
