import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * Case: a machine gets SIGTERM while a client still receives a long answer over a link of 14 Mbit/s. Checks that the
 * answer arrives whole, as it does without SIGTERM.
 */
final class AnswerAtStop {

    private static final String CONFIGURATION = """
            {"version":7,"routes":[
             {"name":"report","host":"berth.example","pathPrefix":"/report/","type":"unsafe","timeoutMs":15000,
              "sloMs":6000,"priority":1,"service":"berth","maxAttempts":1,"public":false}],
             "services":[{"name":"berth","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
             "tenants":[{"name":"crews","apiKeys":["k1"],"priority":1,"unit":"tokens","plainTokens":200,
              "ratePerS":60000,"burst":60000}]}""";

    /** The link of a client or machine, in bytes a second: 14 Mbit/s. */
    private static final int LINK_BYTES_PER_S = 1_750_000;

    private AnswerAtStop() {}

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        int bytes = Integer.parseInt(arguments[2]);
        Path folder = Files.createTempDirectory("review");
        int result = 2;
        try (Recorder record = new Recorder(Path.of(arguments[1]));
                StoreModel store = new StoreModel(record);
                PlainModel plain = new PlainModel("i-1", "north", store, record);
                MachineFleet fleet = new MachineFleet(root, folder, record)) {
            result = play(store, plain, fleet, record, isTrouble, bytes);
            record.note("result %d", result);
        }
        System.out.println("result " + result);
        System.exit(result);
    }

    private static int play(
            StoreModel store, PlainModel plain, MachineFleet fleet, Recorder record, boolean isTrouble, int bytes)
            throws Exception {
        store.put("op/config", CONFIGURATION);
        plain.register("berth");
        MachineFleet.Machine one = fleet.add("front-1", "north", store.address());
        MachineFleet.Machine two = fleet.add("front-2", "south", store.address());
        one.start(true);
        two.start(true);
        if (!fleet.awaitReady(20_000)) {
            return 2;
        }
        int warm = Caller.send(
                one.callers,
                "POST",
                "/report/1",
                Map.of("Host", "berth.example", "X-Request-Id", "warm-1", "X-Deadline-Ms", "6000", "X-Api-Key", "k1"),
                new byte[200]);
        record.note("client: warm-1 -> %d", warm);
        if (warm != 200) {
            return 2;
        }
        plain.setAnswer(bytes, 300);
        Thread.sleep(3_500);
        double stoppedAt = record.seconds();
        if (isTrouble) {
            one.signal("TERM");
        }
        Thread.sleep(1_000);
        long received = receive(one.callers, bytes, record);
        double after = record.seconds() - stoppedAt;
        if (isTrouble) {
            boolean hasEnded = one.awaitEnd(10_000);
            record.note("machine front-1 ended: %s, code %s", hasEnded, hasEnded ? one.exitValue() : "none");
        }
        if (received < bytes) {
            record.note(
                    "BROKEN: the client got %d of %d bytes, the channel ended %.3f s after SIGTERM",
                    received, bytes, after);
            return 1;
        }
        return 0;
    }

    /** Sends a request and reads its answer at the speed of the link; returns the bytes of the body that came. */
    private static long receive(int port, int bytes, Recorder record) throws Exception {
        long body = -1;
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(64 << 10);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            socket.setSoTimeout(10_000);
            String head = "POST /report/1 HTTP/1.1\r\nHost: berth.example\r\nX-Request-Id: report-1\r\n"
                    + "X-Deadline-Ms: 15000\r\nX-Api-Key: k1\r\nContent-Length: 200\r\n\r\n";
            socket.getOutputStream().write((head + "r".repeat(200)).getBytes(StandardCharsets.US_ASCII));
            record.note("client: report-1 sent whole");
            InputStream in = socket.getInputStream();
            StringBuilder headText = new StringBuilder();
            while (!headText.toString().endsWith("\r\n\r\n")) {
                int read = in.read();
                if (read < 0) {
                    record.note("client: report-1 ended within the head");
                    return -1;
                }
                headText.append((char) read);
            }
            record.note("client: report-1 -> %s", headText.toString().replace("\r\n", " | "));
            body = 0;
            byte[] buffer = new byte[17_500];
            while (body < bytes) {
                int read = in.read(buffer);
                if (read < 0) {
                    break;
                }
                body += read;
                Thread.sleep(Math.max(1, 1_000L * read / LINK_BYTES_PER_S));
            }
            record.note("client: report-1 got %d bytes of the body", body);
        } catch (java.io.IOException broken) {
            record.note("client: report-1 broke after %d bytes: %s", body, broken.getMessage());
        }
        return body;
    }
}
