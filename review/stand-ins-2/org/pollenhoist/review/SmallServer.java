package org.pollenhoist.review;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The sockets of a server of the platform: reads requests and writes responses in HTTP/1.1. */
abstract class SmallServer implements AutoCloseable {

    /** A request that was read whole. */
    record Request(String method, String path, Map<String, String> headers, byte[] body) {

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    private final ServerSocket listening;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean isClosed;

    SmallServer() throws IOException {
        listening = new ServerSocket(0, 1_024, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listening.getLocalSocketAddress();
    }

    /** Answers one request. */
    abstract void answer(Request request, OutputStream response) throws IOException, InterruptedException;

    /** Same, for an answer that ends with its channel. */
    void answer(Request request, OutputStream response, Socket socket) throws IOException, InterruptedException {
        answer(request, response);
    }

    private void accept() {
        while (!isClosed) {
            try {
                Socket connection = listening.accept();
                connection.setTcpNoDelay(true);
                connections.add(connection);
                Thread.ofVirtual().start(() -> serve(connection));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream input = new BufferedInputStream(connection.getInputStream(), 65_536);
            OutputStream output = new BufferedOutputStream(connection.getOutputStream(), 65_536);
            while (!isClosed) {
                Request request = read(input);
                answer(request, output, connection);
                output.flush();
            }
        } catch (IOException | InterruptedException ended) {
            // The caller has closed the connection, or this server has ended.
        } finally {
            connections.remove(connection);
        }
    }

    static Request read(InputStream input) throws IOException {
        String[] first = line(input).split(" ");
        if (first.length < 2) {
            throw new IOException("no request line");
        }
        Map<String, String> headers = headers(input);
        byte[] body = new byte[0];
        if ("chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
            body = chunks(input);
        } else if (headers.containsKey("Content-Length")) {
            body = exactly(input, Integer.parseInt(headers.get("Content-Length")));
        }
        return new Request(first[0], first[1], headers, body);
    }

    static Map<String, String> headers(InputStream input) throws IOException {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(input); !line.isEmpty(); line = line(input)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
        }
        return headers;
    }

    static byte[] exactly(InputStream input, int length) throws IOException {
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("body ended early");
        }
        return bytes;
    }

    static byte[] chunks(InputStream input) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (int size = chunkSize(input); size > 0; size = chunkSize(input)) {
            body.write(exactly(input, size));
            line(input);
        }
        line(input);
        return body.toByteArray();
    }

    static int chunkSize(InputStream input) throws IOException {
        return Integer.parseInt(line(input).trim(), 16);
    }

    /** Reads a line without its end. */
    static String line(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        int read = input.read();
        while (read >= 0 && read != '\n') {
            line.append((char) read);
            read = input.read();
        }
        if (read < 0) {
            throw new EOFException("connection ended");
        }
        int length = line.length();
        return length > 0 && line.charAt(length - 1) == '\r' ? line.substring(0, length - 1) : line.toString();
    }

    static void send(OutputStream output, String status, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + "\r\n");
        headers.forEach((name, value) ->
                head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        output.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        output.write(body);
        output.flush();
    }

    static void beginStream(OutputStream output, Map<String, String> headers) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
        headers.forEach((name, value) ->
                head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Transfer-Encoding: chunked\r\n\r\n");
        output.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    }

    static void sendEvent(OutputStream output, String event) throws IOException {
        byte[] bytes = event.getBytes(StandardCharsets.UTF_8);
        output.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        output.write(bytes);
        output.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    static void endStream(OutputStream output) throws IOException {
        output.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    /** Ends as a process does that exits: stops listening and closes all connections. */
    @Override
    public void close() {
        isClosed = true;
        try {
            listening.close();
        } catch (IOException ignored) {
            // It is closed in any case.
        }
        for (Socket connection : connections) {
            try {
                connection.close();
            } catch (IOException ignored) {
                // It is closed in any case.
            }
        }
    }
}
