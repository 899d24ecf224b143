package org.pollenhoist.acceptance;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;

/** Steps of a caller that sends faulty bytes. */
public class RawRequestSteps {

    private static final int DEADLINE_MILLISECONDS = 30_000;

    private String received = "";

    @When("it sends a request with {string}")
    public void send(String description) throws IOException {
        World world = World.current();
        String text = RawRequest.described(description).text(world.key(), world.marker());
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), world.firstEntry().port())) {
            socket.setSoTimeout(DEADLINE_MILLISECONDS);
            sendAll(socket, text);
            received = receiveAll(socket);
        }
    }

    /** The other side may close before it has taken everything; its answer counts. */
    private static void sendAll(Socket socket, String text) throws IOException {
        try {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
        } catch (SocketException e) {
            return;
        }
    }

    private static String receiveAll(Socket socket) throws IOException {
        StringBuilder all = new StringBuilder();
        byte[] buffer = new byte[4096];
        try {
            int count = socket.getInputStream().read(buffer);
            while (count >= 0) {
                all.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
                count = socket.getInputStream().read(buffer);
            }
        } catch (SocketException e) {
            return all.toString();
        }
        return all.toString();
    }

    @Then("the connection answers once with {int} {string} and closes")
    public void answersAndCloses(int status, String code) {
        assertThat(received).startsWith("HTTP/1.1 " + status + " ").contains("\"code\":\"" + code + "\"");
        assertThat(received.split("HTTP/1\\.1 ", -1)).hasSize(2);
    }

    @Then("the connection answers once with {int}")
    public void answers(int status) {
        assertThat(received).startsWith("HTTP/1.1 " + status + " ");
        assertThat(received.split("HTTP/1\\.1 ", -1)).hasSize(2);
    }

    @Then("no upstream has seen any of it")
    public void noUpstreamHasSeenIt() {
        assertThat(UpstreamRecords.ofAll(
                        World.current().fleet(), World.current().marker()))
                .isEmpty();
    }
}
