package org.pollenhoist.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Decodes the responses on a client connection, and keeps the first bytes of the current one for the log.
 *
 * <p>A process that writes a response once more, late, may break off within it and go on with the next response. Fields
 * of both then stand in one head, and none of them proves to which request it responds. Such a head has a status line
 * within its reason, a field name or a field value, or fields that a response has once stand in it twice; its decoder
 * result is a failure, as that of any other head that the standard does not allow (RFC 9112, sections 2.2, 4, 5.1 and
 * 6.3).
 */
public final class ResponseDecoder extends HttpResponseDecoder {

    /** Number of bytes of a response that are kept for the log. */
    private static final int BEGINNING_BYTES = 200;

    private static final String END_OF_HEAD = "\r\n\r\n";
    private static final Pattern UNPRINTABLE = Pattern.compile("[^\\x20-\\x7e\r\n]");

    /** Names, in lower case, of the fields of HTTP that a response has at most once and that are used here. */
    private static final Set<String> SINGLE_HTTP_FIELDS =
            Set.of("content-length", "content-type", "transfer-encoding", "retry-after");

    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");
    private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

    /** The beginning of a status line, wherever it stands. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/[0-9]\\.[0-9] [0-9]{3}");

    private final Set<String> singleFields;
    private final StatusLineSearch search = new StatusLineSearch();
    private final byte[] beginning = new byte[BEGINNING_BYTES];
    private int beginningLength;
    private boolean isHeadRequest;
    private boolean isAwaiting;
    private boolean isSkipping;
    private boolean isStatusLineSkipped;

    /**
     * Creates a decoder for one connection.
     *
     * @param maximumLineBytes longest status line
     * @param maximumHeaderBytes longest header
     * @param maximumChunkBytes largest part of a body that is handed on at once
     * @param singleFields names, in lower case, of the fields that a response has at most once, beside those of HTTP
     */
    public ResponseDecoder(
            int maximumLineBytes, int maximumHeaderBytes, int maximumChunkBytes, Set<String> singleFields) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(maximumLineBytes)
                .setMaxHeaderSize(maximumHeaderBytes)
                .setMaxChunkSize(maximumChunkBytes)
                .setAllowDuplicateContentLengths(false)
                .setStrictLineParsing(true));
        this.singleFields = singleFields;
    }

    /**
     * Tells which request is responded to next; the response to HEAD has no body, whatever its length says.
     *
     * @param method the method of the request
     */
    public void awaitResponseTo(HttpMethod method) {
        isAwaiting = true;
        isHeadRequest = method.equals(HttpMethod.HEAD);
        beginningLength = 0;
    }

    /** Ends the current response, so that the next one is read. */
    public void responseEnded() {
        beginningLength = 0;
        isSkipping = false;
    }

    /**
     * Begins to search the body of the current response for a status line, which it can't have or which is discarded
     * with it. The body of a copy that breaks off contains, by its framing, the next response.
     */
    public void skipBody() {
        isSkipping = true;
        isStatusLineSkipped = false;
        search.begin();
    }

    /**
     * Tells whether the body that is discarded has a status line, so that the response to the request is lost.
     *
     * @return true if it does so far
     */
    public boolean isStatusLineSkipped() {
        return isSkipping && isStatusLineSkipped;
    }

    /**
     * Stops decoding until the next request is sent: bytes that come before that are no response to it, and are handed
     * on as they are.
     */
    public void stopAwaiting() {
        isAwaiting = false;
        beginningLength = 0;
    }

    /**
     * Returns how many bytes have been received and not decoded.
     *
     * @return the number of bytes; more than 0 while a part of a response is awaited, or after a response
     */
    public int unreadBytes() {
        return actualReadableBytes();
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
    protected HttpMessage createMessage(String[] statusLine) {
        String reason = statusLine[2];
        if (!VERSION.matcher(statusLine[0]).matches()
                || !STATUS.matcher(statusLine[1]).matches()) {
            throw new IllegalArgumentException(
                    "status line begins with '" + statusLine[0] + ' ' + statusLine[1] + "', expected 'HTTP/1.1 200'");
        }
        if (STATUS_LINE.matcher(reason).find()) {
            throw new IllegalArgumentException("reason '" + reason + "' contains a status line");
        }
        return super.createMessage(statusLine);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException(
                    "field '" + super.splitHeaderName(line, start, length) + "' is not followed by a colon");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding, expected one of them");
    }

    /** Returns why a head can't be that of one response. */
    private Optional<String> defect(HttpHeaders headers) {
        Set<String> seen = new HashSet<>();
        for (Map.Entry<String, String> field : headers) {
            String name = field.getKey().toLowerCase(Locale.ROOT);
            if (STATUS_LINE.matcher(field.getValue()).find()) {
                return Optional.of("field " + name + " contains a status line");
            }
            if (!seen.add(name) && (SINGLE_HTTP_FIELDS.contains(name) || singleFields.contains(name))) {
                return Optional.of("field " + name + " stands in it twice");
            }
        }
        return Optional.empty();
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return isHeadRequest || super.isContentAlwaysEmpty(message);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (isAwaiting || !(message instanceof ByteBuf bytes)) {
            super.channelRead(context, message);
            return;
        }
        keepBeginning(bytes, bytes.readerIndex(), bytes.readableBytes());
        context.fireChannelRead(bytes);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        int first = buffer.readerIndex();
        int decoded = out.size();
        super.decode(context, buffer, out);
        out.subList(decoded, out.size()).forEach(this::check);
        int length = buffer.readerIndex() - first;
        keepBeginning(buffer, first, length);
        isStatusLineSkipped |= isSkipping && search.isFoundIn(buffer, first, length);
    }

    private void keepBeginning(ByteBuf buffer, int first, int length) {
        int kept = Math.min(BEGINNING_BYTES - beginningLength, length);
        buffer.getBytes(first, beginning, beginningLength, kept);
        beginningLength += kept;
    }

    private void check(Object decoded) {
        if (decoded instanceof HttpResponse head && head.decoderResult().isSuccess()) {
            defect(head.headers())
                    .ifPresent(reason ->
                            head.setDecoderResult(DecoderResult.failure(new IllegalArgumentException(reason))));
        }
    }
}
