package org.pollenhoist.review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The platform's address for one machine: passes channels on to it. When the machine loses power, they fall silent. */
final class Balancer implements AutoCloseable {

    private static final class Channel {
        private volatile boolean isSilent;
    }

    private final ServerSocket listening;
    private final InetSocketAddress machine;
    private final Set<Channel> channels = ConcurrentHashMap.newKeySet();

    Balancer(InetSocketAddress machine) throws IOException {
        this.machine = machine;
        listening = new ServerSocket(0, 1_024, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listening.getLocalSocketAddress();
    }

    /** Lets the present channels fall silent, as when a machine loses power: nothing comes any more, not even an end. */
    void silence() {
        channels.forEach(channel -> channel.isSilent = true);
    }

    private void accept() {
        while (!listening.isClosed()) {
            try {
                Socket client = listening.accept();
                Thread.ofVirtual().start(() -> connect(client));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void connect(Socket client) {
        Channel channel = new Channel();
        channels.add(channel);
        try {
            client.setTcpNoDelay(true);
            Socket onward = new Socket(machine.getAddress(), machine.getPort());
            onward.setTcpNoDelay(true);
            Thread.ofVirtual().start(() -> copy(channel, client, onward));
            copy(channel, onward, client);
        } catch (IOException refused) {
            close(client);
        }
        channels.remove(channel);
    }

    private static void copy(Channel channel, Socket from, Socket to) {
        byte[] bytes = new byte[16_384];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            for (int length = input.read(bytes); length >= 0; length = input.read(bytes)) {
                if (!channel.isSilent) {
                    output.write(bytes, 0, length);
                }
            }
        } catch (IOException ended) {
            // One end has closed the channel.
        }
        if (!channel.isSilent) {
            close(to);
            close(from);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // It is closed in any case.
        }
    }

    @Override
    public void close() throws IOException {
        listening.close();
    }
}
