package org.pollenhoist.request;

import com.google.protobuf.ByteString;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The full response of a finished request, returned to its repeats.
 *
 * @param status the HTTP status
 * @param headers the headers that are forwarded to the caller
 * @param body the body
 */
public record StoredResponse(int status, SortedMap<String, String> headers, ByteString body) {

    /** Copies the headers. */
    public StoredResponse {
        headers = new TreeMap<>(headers);
    }

    int bytes() {
        int headerBytes = headers.entrySet().stream()
                .mapToInt(header -> header.getKey().length() + header.getValue().length())
                .sum();
        return headerBytes + body.size();
    }
}
