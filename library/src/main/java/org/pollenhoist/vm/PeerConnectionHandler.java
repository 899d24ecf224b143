package org.pollenhoist.vm;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.concurrent.CancellationException;
import java.util.concurrent.TimeUnit;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.vm.generated.Frame;
import org.pollenhoist.vm.generated.Hello;

/**
 * One end of a connection. Each end says hello once a second, so that a connection that has gone silent for good is
 * noticed by the read timeout of the other end and dialled anew.
 */
final class PeerConnectionHandler extends SimpleChannelInboundHandler<Frame> {

    private static final long HELLO_INTERVAL_MILLISECONDS = 1_000;

    private static final DecisionLog LOG = DecisionLog.of("vm");

    private final PeerMesh mesh;

    private final Frame hello;

    private Peer peer;

    PeerConnectionHandler(PeerMesh mesh, Frame hello) {
        this.mesh = mesh;
        this.hello = hello;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.writeAndFlush(hello);
        context.executor()
                .scheduleAtFixedRate(
                        () -> sayHello(context),
                        HELLO_INTERVAL_MILLISECONDS,
                        HELLO_INTERVAL_MILLISECONDS,
                        TimeUnit.MILLISECONDS);
    }

    private void sayHello(ChannelHandlerContext context) {
        if (!context.channel().isActive()) {
            throw new CancellationException("the connection has ended");
        }
        context.writeAndFlush(hello);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (frame.hasHello()) {
            receiveHello(context, frame.getHello());
            return;
        }
        if (peer != null) {
            mesh.received(peer, frame);
        }
    }

    private void receiveHello(ChannelHandlerContext context, Hello received) {
        boolean isRepeated = peer != null && peer.incarnation() == received.getIncarnation();
        if (isRepeated) {
            mesh.heardAgain(peer, context.channel());
            return;
        }
        if (received.getProtocolVersion() != PeerFrames.PROTOCOL_VERSION) {
            LOG.event("peer_rejected", "vm", received.getVmName(), "protocol", received.getProtocolVersion());
            context.close();
            return;
        }
        peer = PeerFrames.peer(received);
        if (!mesh.connected(peer, context.channel())) {
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (peer != null) {
            mesh.disconnected(peer, context.channel());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof PollenhoistException) {
            LOG.event("peer_rejected", "reason", cause.getMessage());
        }
        context.close();
    }
}
