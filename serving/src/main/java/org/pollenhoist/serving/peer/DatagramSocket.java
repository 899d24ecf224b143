package org.pollenhoist.serving.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.BiConsumer;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.serving.transport.Transport;

/** A UDP socket on an event loop. */
public final class DatagramSocket implements DatagramTransport {

    /**
     * Maximum payload of a UDP datagram over IPv4. A datagram longer than the receive buffer would be truncated
     * silently.
     */
    private static final int MAXIMUM_DATAGRAM_BYTES = 65_507;

    private static final DecisionLog LOG = DecisionLog.of("peer");

    private final EventLoop loop;
    private Channel channel;

    /**
     * Creates a socket that does not listen yet.
     *
     * @param loop the event loop
     */
    public DatagramSocket(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Starts to listen.
     *
     * @param address the address
     * @param onDatagram receives each datagram and the address of its sender
     * @return completes once the socket listens
     */
    public ChannelFuture listen(InetSocketAddress address, BiConsumer<byte[], InetSocketAddress> onDatagram) {
        ChannelFuture bound = new Bootstrap()
                .group(loop)
                .channel(Transport.of(loop).datagramChannel())
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAXIMUM_DATAGRAM_BYTES))
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                        onDatagram.accept(ByteBufUtil.getBytes(packet.content()), packet.sender());
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                        // A send to a peer that does not listen results in an ICMP port error; no action is needed.
                        LOG.event("datagram_failed", "reason", cause.getMessage());
                    }
                })
                .bind(address);
        channel = bound.channel();
        return bound;
    }

    @Override
    public void send(byte[] bytes, List<InetSocketAddress> receivers) {
        receivers.forEach(address -> channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), address)));
        channel.flush();
    }
}
