package org.pollenhoist.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Reads requests as the standard writes them and nothing else: one framing, whole line ends, no duplicate lengths. Two
 * readers that frame a request differently are what request smuggling lives on (RFC 9112, sections 6.3 and 11.2).
 */
public final class StrictRequestDecoder extends HttpRequestDecoder {

    private boolean isRequestBegun;

    /**
     * Creates a decoder for one connection.
     *
     * @param maximumLineBytes longest request line
     * @param maximumHeaderBytes longest header
     * @param maximumChunkBytes largest part of a body that is handed on at once
     */
    public StrictRequestDecoder(int maximumLineBytes, int maximumHeaderBytes, int maximumChunkBytes) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(maximumLineBytes)
                .setMaxHeaderSize(maximumHeaderBytes)
                .setMaxChunkSize(maximumChunkBytes)
                .setAllowDuplicateContentLengths(false)
                .setStrictLineParsing(true)
                .setValidateHeaders(true));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        isRequestBegun = true;
        super.channelRead(context, message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding, expected one of them");
    }

    /**
     * Tells whether bytes of a request have arrived that has not been read whole.
     *
     * @return true while a request is being read
     */
    public boolean isRequestBegun() {
        return isRequestBegun;
    }

    /** Marks that a request was read whole. */
    void requestCompleted() {
        isRequestBegun = false;
    }
}
