package org.pollenhoist.serving.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;

/**
 * A request that was read whole.
 *
 * @param head method, path and headers
 * @param body the whole body; the receiver releases it
 */
public record IncomingRequest(HttpRequest head, ByteBuf body) {}
