package org.pollenhoist.caller;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import java.util.Set;
import ratpack.func.Action;
import ratpack.impose.Impositions;
import ratpack.server.RatpackServerSpec;
import ratpack.server.ServerConfig;
import ratpack.server.internal.DefaultRatpackServer;

/** A Ratpack server whose connections read requests with the {@link StrictRequestDecoder}. */
public final class StrictHttpServer extends DefaultRatpackServer {

    private static final String RATPACK_DECODER = "decoder";

    private static final String RATPACK_ADAPTER = "adapter";

    private StrictHttpServer(Action<? super RatpackServerSpec> definition) throws Exception {
        super(definition, Impositions.none());
    }

    /**
     * Creates a server that is not started yet.
     *
     * @param definition the server's definition, as for {@code RatpackServer.of}
     * @return the server
     * @throws Exception where the definition fails
     */
    public static StrictHttpServer of(Action<? super RatpackServerSpec> definition) throws Exception {
        return new StrictHttpServer(definition);
    }

    @Override
    protected Channel buildChannel(ServerConfig serverConfig, ChannelHandler handlerAdapter)
            throws InterruptedException {
        return super.buildChannel(serverConfig, new PipelineTightener(serverConfig, handlerAdapter));
    }

    /** Accepts no further connection; those that exist go on. */
    public synchronized void closeListener() {
        if (channel != null) {
            channel.close().syncUninterruptibly();
        }
    }

    /** Stands in for Ratpack's adapter until the connection's pipeline is complete, then replaces the decoder. */
    @Sharable
    private static final class PipelineTightener extends ChannelInboundHandlerAdapter {

        private final ServerConfig serverConfig;

        private final ChannelHandler adapter;

        PipelineTightener(ServerConfig serverConfig, ChannelHandler adapter) {
            this.serverConfig = serverConfig;
            this.adapter = adapter;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            ChannelPipeline pipeline = context.pipeline();
            StrictRequestDecoder decoder = new StrictRequestDecoder(
                    serverConfig.getMaxInitialLineLength(),
                    serverConfig.getMaxHeaderSize(),
                    serverConfig.getMaxChunkSize());
            pipeline.replace(RATPACK_DECODER, RATPACK_DECODER, decoder);
            pipeline.replace(this, RATPACK_ADAPTER, adapter);
            pipeline.addBefore(RATPACK_ADAPTER, "requestGuard", new RequestGuard(decoder, Set.of()));
        }
    }
}
