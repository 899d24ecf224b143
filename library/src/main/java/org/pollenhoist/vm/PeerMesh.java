package org.pollenhoist.vm;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.traffic.GlobalTrafficShapingHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.VmName;
import org.pollenhoist.vm.generated.Frame;

/**
 * The TCP connections to all known peers. Each process dials every address that it was given and keeps dialling; frames
 * go out over the connection on which the peer was heard last.
 *
 * <p>Example: {@code PeerMesh mesh = PeerMesh.start(self, listenAddress, seeds); mesh.addListener(listener);}
 */
public final class PeerMesh implements PeerMessenger, AutoCloseable {

    private static final int EVENT_LOOP_THREADS = 1;

    private static final int CONNECT_TIMEOUT_MILLISECONDS = 1_000;

    private static final long REDIAL_MILLISECONDS = 500;

    private static final long SILENCE_MILLISECONDS = 3_000;

    private static final DecisionLog LOG = DecisionLog.of("vm");

    private final Peer self;

    private final EventLoopGroup eventLoops =
            new NioEventLoopGroup(EVENT_LOOP_THREADS, new DefaultThreadFactory("peer-mesh", true));

    /** Counts only; it shapes nothing. */
    private final GlobalTrafficShapingHandler traffic = new GlobalTrafficShapingHandler(eventLoops, 0);

    private final List<PeerListener> listeners = new CopyOnWriteArrayList<>();

    /** Each entry is replaced whole; no lock is held while a listener runs. */
    private final Map<VmName, Connection> connections = new ConcurrentHashMap<>();

    private volatile boolean isClosed;

    private Channel serverChannel;

    private PeerMesh(Peer self) {
        this.self = self;
    }

    /**
     * Listens at an address and begins to dial the seeds.
     *
     * @param self this process
     * @param listenAddress where peers reach it
     * @param seeds addresses of the peers
     * @return the mesh
     */
    public static PeerMesh start(Peer self, InetSocketAddress listenAddress, List<InetSocketAddress> seeds) {
        PeerMesh mesh = new PeerMesh(self);
        mesh.listen(listenAddress);
        for (InetSocketAddress seed : seeds) {
            if (!seed.equals(listenAddress)) {
                mesh.dial(seed);
            }
        }
        return mesh;
    }

    private void listen(InetSocketAddress address) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(connectionInitializer());
        serverChannel = bootstrap.bind(address).syncUninterruptibly().channel();
    }

    private void dial(InetSocketAddress address) {
        if (isClosed) {
            return;
        }
        Bootstrap bootstrap = new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(connectionInitializer());
        bootstrap.connect(address).addListener((ChannelFutureListener) attempt -> afterDial(address, attempt));
    }

    private void afterDial(InetSocketAddress address, ChannelFuture attempt) {
        if (attempt.isSuccess()) {
            attempt.channel().closeFuture().addListener(closed -> redial(address));
        } else {
            redial(address);
        }
    }

    private void redial(InetSocketAddress address) {
        if (!isClosed) {
            eventLoops.schedule(() -> dial(address), REDIAL_MILLISECONDS, TimeUnit.MILLISECONDS);
        }
    }

    private ChannelInitializer<SocketChannel> connectionInitializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline().addLast(traffic);
                PeerFrames.addCodec(channel.pipeline(), SILENCE_MILLISECONDS);
                channel.pipeline().addLast(new PeerConnectionHandler(PeerMesh.this, PeerFrames.hello(self)));
            }
        };
    }

    /**
     * Adds a listener for all frames that arrive from now on. It learns of the peers that are connected already.
     *
     * @param listener the listener
     */
    public void addListener(PeerListener listener) {
        listeners.add(listener);
        MonotonicTime now = MonotonicTime.read();
        connections.values().forEach(connection -> listener.onConnected(connection.peer(), now));
    }

    @Override
    public void send(VmName receiver, Frame frame) {
        Connection connection = connections.get(receiver);
        if (connection != null) {
            connection.channel().writeAndFlush(frame);
        }
    }

    @Override
    public Set<VmName> connectedPeers() {
        return Set.copyOf(connections.keySet());
    }

    /**
     * Returns the peers that are connected now.
     *
     * @return the peers
     */
    public Set<Peer> peers() {
        return connections.values().stream().map(Connection::peer).collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns the peer of a name where it is connected.
     *
     * @param vm the name
     * @return the peer, or empty where it is not connected
     */
    public Optional<Peer> find(VmName vm) {
        return Optional.ofNullable(connections.get(vm)).map(Connection::peer);
    }

    /** Takes a peer's connection; false where the peer is this process itself. */
    boolean connected(Peer peer, Channel channel) {
        if (peer.vm().equals(self.vm())) {
            return false;
        }
        Connection previous = connections.put(peer.vm(), new Connection(peer, channel));
        boolean isNew = previous == null || previous.peer().incarnation() != peer.incarnation();
        if (isNew) {
            LOG.event("peer_connected", "vm", peer.vm(), "failure_domain", peer.failureDomain());
            MonotonicTime now = MonotonicTime.read();
            listeners.forEach(listener -> listener.onConnected(peer, now));
        }
        return true;
    }

    /** Both ends dial, so two connections may exist: when the current one ends, the other one takes over. */
    void heardAgain(Peer peer, Channel channel) {
        connections.putIfAbsent(peer.vm(), new Connection(peer, channel));
    }

    void disconnected(Peer peer, Channel channel) {
        boolean wasCurrent = connections.remove(peer.vm(), new Connection(peer, channel));
        if (wasCurrent) {
            LOG.event("peer_disconnected", "vm", peer.vm(), "failure_domain", peer.failureDomain());
            MonotonicTime now = MonotonicTime.read();
            listeners.forEach(listener -> listener.onDisconnected(peer, now));
        }
    }

    void received(Peer sender, Frame frame) {
        MonotonicTime now = MonotonicTime.read();
        listeners.forEach(listener -> listener.onFrame(sender, frame, now));
    }

    /**
     * Returns how many bytes peers have sent to this process.
     *
     * @return bytes since the start
     */
    public long receivedBytes() {
        return traffic.trafficCounter().cumulativeReadBytes();
    }

    /**
     * Returns how many bytes this process has sent to peers.
     *
     * @return bytes since the start
     */
    public long sentBytes() {
        return traffic.trafficCounter().cumulativeWrittenBytes();
    }

    @Override
    public void close() {
        isClosed = true;
        serverChannel.close();
        eventLoops.shutdownGracefully(0, CONNECT_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    private record Connection(Peer peer, Channel channel) {}
}
