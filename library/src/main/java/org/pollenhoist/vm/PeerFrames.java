package org.pollenhoist.vm;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.util.concurrent.TimeUnit;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.VmName;
import org.pollenhoist.vm.generated.Frame;
import org.pollenhoist.vm.generated.Hello;

/** The codec that both ends of a connection between VMs share. */
final class PeerFrames {

    /** Version of the frames; a peer of another version is not listened to. */
    static final int PROTOCOL_VERSION = 1;

    private PeerFrames() {}

    static void addCodec(ChannelPipeline pipeline, long silenceMilliseconds) {
        pipeline.addLast(new ReadTimeoutHandler(silenceMilliseconds, TimeUnit.MILLISECONDS));
        pipeline.addLast(new ProtobufVarint32FrameDecoder());
        pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
        pipeline.addLast(new ProtobufVarint32LengthFieldPrepender());
        pipeline.addLast(new ProtobufEncoder());
    }

    static Frame hello(Peer self) {
        Hello hello = Hello.newBuilder()
                .setVmName(self.vm().value())
                .setFailureDomain(self.failureDomain().value())
                .setIncarnation(self.incarnation())
                .setProtocolVersion(PROTOCOL_VERSION)
                .build();
        return Frame.newBuilder().setHello(hello).build();
    }

    static Peer peer(Hello hello) {
        return new Peer(
                VmName.of(hello.getVmName()), FailureDomain.of(hello.getFailureDomain()), hello.getIncarnation());
    }
}
