package org.pollenhoist.review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A client's channel. */
final class SmallClient implements AutoCloseable {

    /** The head of an answer. */
    record Head(int status, Map<String, String> headers) {

        boolean isKept() {
            return !"close".equalsIgnoreCase(headers.get("Connection"));
        }
    }

    private static final int CONNECT_MILLISECONDS = 1_000;

    private final Socket socket = new Socket();
    private final InputStream input;

    SmallClient(InetSocketAddress address, int timeoutMilliseconds) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(address, CONNECT_MILLISECONDS);
        socket.setSoTimeout(timeoutMilliseconds);
        input = new BufferedInputStream(socket.getInputStream());
    }

    InputStream input() {
        return input;
    }

    Socket socket() {
        return socket;
    }

    void send(String method, String path, Map<String, String> headers, byte[] body) throws IOException {
        byte[] head = head(method, path, headers, body.length);
        byte[] message = new byte[head.length + body.length];
        System.arraycopy(head, 0, message, 0, head.length);
        System.arraycopy(body, 0, message, head.length, body.length);
        socket.getOutputStream().write(message);
    }

    static byte[] head(String method, String path, Map<String, String> headers, int length) {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: fleet.example\r\n");
        headers.forEach((name, value) ->
                head.append(name).append(": ").append(value).append("\r\n"));
        if (length > 0) {
            head.append("Content-Length: ").append(length).append("\r\n");
        }
        return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    Head readHead() throws IOException {
        String[] first = SmallServer.line(input).split(" ");
        return new Head(Integer.parseInt(first[1]), SmallServer.headers(input));
    }

    byte[] readBody(Head head) throws IOException {
        if ("chunked".equalsIgnoreCase(head.headers().get("Transfer-Encoding"))) {
            return SmallServer.chunks(input);
        }
        return SmallServer.exactly(
                input, Integer.parseInt(head.headers().getOrDefault("Content-Length", "0")));
    }

    /** Reads one chunk of a stream; returns an empty text at its end. */
    String readChunk() throws IOException {
        int size = SmallServer.chunkSize(input);
        String chunk = new String(SmallServer.exactly(input, size), StandardCharsets.UTF_8);
        SmallServer.line(input);
        return chunk;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
