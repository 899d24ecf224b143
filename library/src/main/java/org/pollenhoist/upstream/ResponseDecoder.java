package org.pollenhoist.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;

/** Decodes the responses on a client connection, and keeps the first bytes of the current one for the log. */
public final class ResponseDecoder extends HttpResponseDecoder {

    /** Number of bytes of a response that are kept for the log. */
    private static final int BEGINNING_BYTES = 200;

    private static final String END_OF_HEAD = "\r\n\r\n";
    private static final Pattern UNPRINTABLE = Pattern.compile("[^\\x20-\\x7e\r\n]");

    private final byte[] beginning = new byte[BEGINNING_BYTES];
    private int beginningLength;
    private boolean isHeadRequest;

    /**
     * Creates a decoder for one connection.
     *
     * @param maximumLineBytes longest status line
     * @param maximumHeaderBytes longest header
     * @param maximumChunkBytes largest part of a body that is handed on at once
     */
    public ResponseDecoder(int maximumLineBytes, int maximumHeaderBytes, int maximumChunkBytes) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(maximumLineBytes)
                .setMaxHeaderSize(maximumHeaderBytes)
                .setMaxChunkSize(maximumChunkBytes));
    }

    /**
     * Tells which request is responded to next; the response to HEAD has no body, whatever its length says.
     *
     * @param method the method of the request
     */
    public void awaitResponseTo(HttpMethod method) {
        isHeadRequest = method.equals(HttpMethod.HEAD);
        beginningLength = 0;
    }

    /** Forgets the first bytes of the current response, so that those of the next one are kept. */
    public void responseEnded() {
        beginningLength = 0;
    }

    /**
     * Returns the first bytes that were read since the last response, without those of a body.
     *
     * @return at most 200 characters, one for each byte; bytes that can't be printed are question marks
     */
    public String beginning() {
        String text = new String(beginning, 0, beginningLength, StandardCharsets.ISO_8859_1);
        int end = text.indexOf(END_OF_HEAD);
        return UNPRINTABLE.matcher(end < 0 ? text : text.substring(0, end)).replaceAll("?");
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return isHeadRequest || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        int first = buffer.readerIndex();
        super.decode(context, buffer, out);
        int kept = Math.min(BEGINNING_BYTES - beginningLength, buffer.readerIndex() - first);
        if (kept > 0) {
            buffer.getBytes(first, beginning, beginningLength, kept);
            beginningLength += kept;
        }
    }
}
