import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.util.Map;

/** A client that opens a new channel for each request. */
final class Caller {

    private Caller() {}

    /** Sends a request and returns the status, or -1 if the channel ended without an answer. */
    static int send(int port, String method, String path, Map<String, String> headers, byte[] body) {
        try {
            HttpURLConnection connection = (HttpURLConnection)
                    URI.create("http://127.0.0.1:" + port + path).toURL().openConnection();
            connection.setRequestMethod(method);
            connection.setConnectTimeout(1_000);
            connection.setReadTimeout(6_000);
            headers.forEach(connection::setRequestProperty);
            connection.setRequestProperty("Connection", "close");
            if (body != null) {
                connection.setDoOutput(true);
                connection.setFixedLengthStreamingMode(body.length);
                connection.getOutputStream().write(body);
            }
            int status = connection.getResponseCode();
            if (status < 400) {
                connection.getInputStream().readAllBytes();
            }
            return status;
        } catch (IOException failure) {
            return -1;
        }
    }
}
