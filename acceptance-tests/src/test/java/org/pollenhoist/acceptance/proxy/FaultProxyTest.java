package org.pollenhoist.acceptance.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.acceptance.proxy.FaultProxy.Direction;

class FaultProxyTest {

    private static final int SILENCE_MILLISECONDS = 300;
    private static final int DEADLINE_MILLISECONDS = 10_000;

    private ServerSocket echo;
    private FaultProxy proxy;

    @BeforeEach
    void startEcho() throws IOException {
        echo = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        Thread.ofPlatform().daemon().start(this::answer);
        proxy = FaultProxy.before(echo.getLocalPort());
    }

    @AfterEach
    void stop() throws IOException {
        proxy.close();
        echo.close();
    }

    @Nested
    class Silence {

        @Test
        void should_keep_old_connections_silent_and_new_ones_working_when_told_so() throws IOException {
            try (Socket old = connect();
                    Socket fresh = new Socket()) {
                assertThat(exchange(old, 1)).isEqualTo(1);

                proxy.silence(Direction.TOWARDS_CALLER);
                old.setSoTimeout(SILENCE_MILLISECONDS);
                assertThatThrownBy(() -> exchange(old, 2)).isInstanceOf(SocketTimeoutException.class);
                fresh.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), proxy.port()));
                fresh.setSoTimeout(DEADLINE_MILLISECONDS);

                assertThat(exchange(fresh, 3)).isEqualTo(3);
            }
        }
    }

    @Nested
    class Cut {

        @Test
        void should_end_open_connections_when_cut() throws IOException {
            try (Socket socket = connect()) {
                assertThat(exchange(socket, 1)).isEqualTo(1);

                proxy.cut();

                assertThat(endOf(socket)).isEqualTo(-1);
            }
        }
    }

    @Nested
    class Refuse {

        @Test
        void should_serve_no_new_connection_when_refusing() throws IOException {
            proxy.refuseNewConnections(true);

            try (Socket socket = connect()) {
                assertThat(endOf(socket)).isEqualTo(-1);
            }
        }
    }

    private void answer() {
        while (!echo.isClosed()) {
            try {
                Socket socket = echo.accept();
                Thread.ofPlatform().daemon().start(() -> answer(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void answer(Socket socket) {
        try (socket) {
            socket.getInputStream().transferTo(socket.getOutputStream());
        } catch (IOException e) {
            return;
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), proxy.port());
        socket.setSoTimeout(DEADLINE_MILLISECONDS);
        return socket;
    }

    private static int exchange(Socket socket, int value) throws IOException {
        socket.getOutputStream().write(value);
        return socket.getInputStream().read();
    }

    /** A reset counts as an end too. */
    private static int endOf(Socket socket) {
        try {
            return socket.getInputStream().read();
        } catch (SocketTimeoutException e) {
            throw new AssertionError("the connection is still open", e);
        } catch (IOException e) {
            return -1;
        }
    }
}
