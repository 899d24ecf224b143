package org.pollenhoist.serving.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;

/**
 * A request that was read completely.
 *
 * @param head method, path and headers
 * @param body the complete body, which the receiver must release
 */
public record IncomingRequest(HttpRequest head, ByteBuf body) {}
