package org.pollenhoist.acceptance;

/** Faulty requests, as the bytes that a caller sends. */
enum RawRequest {
    TWO_CONTENT_LENGTHS("a length given twice"),
    LENGTH_AND_CHUNKED("a length and chunks"),
    OBSCURED_CHUNKED("an obscured transfer coding"),
    SPACE_BEFORE_COLON("a space before the colon"),
    BARE_LINE_FEEDS("bare line feeds"),
    FOLDED_HEADER("a folded header"),
    NEGATIVE_LENGTH("a negative length"),
    BAD_CHUNK_SIZE("a chunk size that is no number"),
    NO_REQUEST_LINE("no request line"),
    LARGE_HEADER("a header beyond the limit"),
    LARGE_BODY("a body beyond the limit"),
    HALF_HEADER("half a header"),
    HALF_BODY("half a body");

    private static final int LARGE_HEADER_CHARACTERS = 200_000;
    private static final int LARGE_BODY_CHARACTERS = 200_000;

    private final String description;

    RawRequest(String description) {
        this.description = description;
    }

    static RawRequest described(String text) {
        for (RawRequest request : values()) {
            if (request.description.equals(text)) {
                return request;
            }
        }
        throw new IllegalArgumentException("no raw request is described as '" + text + "'");
    }

    /** Returns the text of the request; a smuggled second one, where there is any, carries the marker too. */
    String text(String key, String marker) {
        String line = "POST /bookings/" + marker + " HTTP/1.1\r\n";
        String common = "Host: entry\r\nAuthorization: Bearer " + key + "\r\n";
        String smuggled = "POST /bookings/smuggled-" + marker + " HTTP/1.1\r\n" + common + "Content-Length: 0\r\n\r\n";
        return switch (this) {
            case TWO_CONTENT_LENGTHS -> line + common + "Content-Length: 2\r\nContent-Length: 0\r\n\r\nab" + smuggled;
            case LENGTH_AND_CHUNKED ->
                line + common + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled;
            case OBSCURED_CHUNKED ->
                line + common + "Content-Length: 4\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + smuggled;
            case SPACE_BEFORE_COLON -> line + common + "Content-Length : 2\r\n\r\nab" + smuggled;
            case BARE_LINE_FEEDS -> (line + common + "Content-Length: 2\r\n\r\nab").replace("\r\n", "\n");
            case FOLDED_HEADER -> line + common + "X-Note: a\r\n b\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab";
            case NEGATIVE_LENGTH -> line + common + "Content-Length: -1\r\n\r\n" + smuggled;
            case BAD_CHUNK_SIZE -> line + common + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n";
            case NO_REQUEST_LINE -> "\u0001\u0002 " + marker + "\r\n\r\n";
            case LARGE_HEADER -> line + common + "X-Note: " + "a".repeat(LARGE_HEADER_CHARACTERS) + "\r\n\r\n";
            case LARGE_BODY ->
                line + common + "Content-Length: " + LARGE_BODY_CHARACTERS + "\r\n\r\n"
                        + "a".repeat(LARGE_BODY_CHARACTERS);
            case HALF_HEADER -> line + "Host: ent";
            case HALF_BODY -> line + common + "Content-Length: 100\r\n\r\nab";
        };
    }
}
