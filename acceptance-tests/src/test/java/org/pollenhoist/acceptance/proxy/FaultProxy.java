package org.pollenhoist.acceptance.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A TCP proxy on loopback whose connections fail on command.
 *
 * <p>Threads: one accepts, two carry each connection. The modes and the silence of each connection are
 * volatile; the set of connections is concurrent; no lock is held.
 */
public final class FaultProxy implements AutoCloseable {

    private static final int BUFFER_BYTES = 8192;
    private static final int BACKLOG = 64;
    private static final long SILENCE_CHECK_MILLISECONDS = 5;

    private final int targetPort;
    private final ServerSocket server;
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean isRefusing;
    private volatile Duration delay = Duration.ZERO;

    private FaultProxy(int targetPort, ServerSocket server) {
        this.targetPort = targetPort;
        this.server = server;
    }

    /** Starts a proxy in front of a port on loopback; it passes everything on until told otherwise. */
    public static FaultProxy before(int targetPort) {
        try {
            ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
            FaultProxy proxy = new FaultProxy(targetPort, server);
            Thread.ofPlatform().daemon().name("proxy-accept").start(proxy::accept);
            return proxy;
        } catch (IOException e) {
            throw new UncheckedIOException("no proxy on loopback", e);
        }
    }

    public int port() {
        return server.getLocalPort();
    }

    public int openConnections() {
        return connections.size();
    }

    /** Ends all connections at once. */
    public void cut() {
        connections.forEach(Connection::close);
    }

    /** Ends new connections as soon as they come, or no longer. */
    public void refuseNewConnections(boolean isWanted) {
        isRefusing = isWanted;
    }

    /** Makes the present connections silent in the direction for good; new ones work. */
    public void silence(Direction direction) {
        connections.forEach(connection -> connection.silence(direction));
    }

    /** Holds each piece back for a time, in both directions. */
    public void delay(Duration wanted) {
        delay = wanted;
    }

    private void accept() {
        while (!server.isClosed()) {
            acceptOne();
        }
    }

    private void acceptOne() {
        try {
            Socket caller = server.accept();
            if (isRefusing) {
                caller.setSoLinger(true, 0);
                caller.close();
            } else {
                connect(caller);
            }
        } catch (IOException e) {
            // The target may refuse connections for a time, and closing the server ends the wait for callers.
            return;
        }
    }

    private void connect(Socket caller) throws IOException {
        Socket target = new Socket();
        try {
            target.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort));
        } catch (IOException e) {
            caller.close();
            throw e;
        }
        caller.setTcpNoDelay(true);
        target.setTcpNoDelay(true);
        Connection connection = new Connection(caller, target);
        connections.add(connection);
        connection.start();
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException e) {
            throw new UncheckedIOException("proxy on loopback", e);
        } finally {
            cut();
        }
    }

    /** Which pieces of a connection get lost. */
    public enum Direction {
        TOWARDS_TARGET,
        TOWARDS_CALLER,
        BOTH
    }

    private final class Connection {

        private final Socket caller;
        private final Socket target;
        private volatile boolean isSilentTowardsTarget;
        private volatile boolean isSilentTowardsCaller;

        Connection(Socket caller, Socket target) {
            this.caller = caller;
            this.target = target;
        }

        void start() {
            Thread.ofPlatform().daemon().name("proxy-to-target").start(() -> carry(caller, target, true));
            Thread.ofPlatform().daemon().name("proxy-to-caller").start(() -> carry(target, caller, false));
        }

        void silence(Direction direction) {
            isSilentTowardsTarget |= direction != Direction.TOWARDS_CALLER;
            isSilentTowardsCaller |= direction != Direction.TOWARDS_TARGET;
        }

        private boolean isSilent(boolean isTowardsTarget) {
            return isTowardsTarget ? isSilentTowardsTarget : isSilentTowardsCaller;
        }

        private void carry(Socket from, Socket to, boolean isTowardsTarget) {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                int count = in.read(buffer);
                while (count >= 0) {
                    pause(delay);
                    if (!isSilent(isTowardsTarget)) {
                        out.write(buffer, 0, count);
                        out.flush();
                    }
                    count = in.read(buffer);
                }
                awaitVoice(isTowardsTarget);
                to.shutdownOutput();
            } catch (SocketException e) {
                closeUnlessSilent(isTowardsTarget);
            } catch (IOException e) {
                close();
            }
        }

        /** A connection that has gone silent hides its end as well. */
        private void awaitVoice(boolean isTowardsTarget) {
            while (isSilent(isTowardsTarget) && !caller.isClosed()) {
                pause(Duration.ofMillis(SILENCE_CHECK_MILLISECONDS));
            }
        }

        private void closeUnlessSilent(boolean isTowardsTarget) {
            if (!isSilent(isTowardsTarget)) {
                close();
            }
        }

        void close() {
            connections.remove(this);
            closeQuietly(caller);
            closeQuietly(target);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException("connection of the proxy", e);
        }
    }

    private static void pause(Duration wanted) {
        if (wanted.isZero()) {
            return;
        }
        try {
            Thread.sleep(wanted);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
