package org.pollenhoist.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AsciiString;
import java.util.Optional;

/**
 * Reads requests as the standard writes them and nothing else: one framing, whole line ends, no duplicate lengths. Two
 * readers that frame a request differently are what request smuggling lives on (RFC 9112, sections 6.3 and 11.2).
 */
public final class StrictRequestDecoder extends HttpRequestDecoder {

    /** What a request's own objects take, without its header. */
    private static final int HEAD_OVERHEAD_BYTES = 1_024;

    /** What a header line's objects take: name and value as texts, and an entry here and in the forwarded request. */
    private static final int LINE_OVERHEAD_BYTES = 256;

    private boolean isRequestBegun;
    private long headBytes;
    private Optional<HttpMessage> head = Optional.empty();
    private Runnable afterRead = () -> {};

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
        afterRead.run();
    }

    /**
     * Sets what is to be done each time after bytes were read.
     *
     * @param action runs in the event loop of the connection
     */
    public void afterRead(Runnable action) {
        afterRead = action;
    }

    /**
     * Returns the memory of the request that is being read, without its body: of what was decoded, which is many times
     * its size on the wire where lines are short, and of the bytes that can't be decoded yet.
     *
     * @return the memory in bytes
     */
    public long headMemoryBytes() {
        return headBytes + internalBuffer().capacity();
    }

    /**
     * Returns the memory of the decoded head of a request that was read whole, and leaves it to the caller to count it
     * from now on.
     *
     * @return the memory in bytes
     */
    public long takeHeadMemoryBytes() {
        long taken = headBytes;
        headBytes = 0;
        head = Optional.empty();
        return taken;
    }

    /**
     * Drops the header that is being read and the bytes that are not decoded yet, of a connection that is about to be
     * closed. Without this they would be held until the event loop, which reads from all other connections first, tells
     * of the end of this one.
     *
     * @param context the context of a handler of the connection, which reads nothing more
     */
    public void dropHead(ChannelHandlerContext context) {
        head.ifPresent(dropped -> dropped.headers().clear());
        takeHeadMemoryBytes();
        internalBuffer().skipBytes(internalBuffer().readableBytes());
        if (context.pipeline().context(this) != null) {
            context.pipeline().remove(this);
        }
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        headBytes = HEAD_OVERHEAD_BYTES;
        for (String part : initialLine) {
            headBytes += part.length();
        }
        HttpMessage created = super.createMessage(initialLine);
        head = Optional.of(created);
        return created;
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        headBytes += LINE_OVERHEAD_BYTES + length;
        return super.splitHeaderName(line, start, length);
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
