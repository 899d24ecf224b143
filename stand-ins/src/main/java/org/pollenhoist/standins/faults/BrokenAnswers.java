package org.pollenhoist.standins.faults;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.nio.charset.StandardCharsets;
import ratpack.exec.Promise;
import ratpack.handling.Context;

/** Ways to fail an answer on the connection's level. */
public final class BrokenAnswers {

    private BrokenAnswers() {}

    /**
     * Leaves a call without an answer; its connection stays open.
     *
     * @param context the call
     */
    public static void stayedSilent(Context context) {
        Promise.async(downstream -> context.getDirectChannelAccess()
                        .getChannel()
                        .closeFuture()
                        .addListener(future -> downstream.error(new IllegalStateException("the caller has gone"))))
                .onError(error -> {})
                .then(answer -> {});
    }

    /**
     * Closes a call's connection without an answer.
     *
     * @param context the call
     */
    public static void closed(Context context) {
        context.getDirectChannelAccess().getChannel().close();
        stayedSilent(context);
    }

    /**
     * Sends the header and the first half of a body, then closes the connection.
     *
     * @param context the call
     * @param contentType the body's media type
     * @param body the whole body
     */
    public static void halfSent(Context context, String contentType, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head =
                "HTTP/1.1 200 OK\r\nContent-Type: " + contentType + "\r\nContent-Length: " + bytes.length + "\r\n\r\n";
        Channel channel = context.getDirectChannelAccess().getChannel();
        byte[] headBytes = head.getBytes(StandardCharsets.US_ASCII);
        channel.pipeline()
                .firstContext()
                .writeAndFlush(Unpooled.wrappedBuffer(headBytes, 0, headBytes.length))
                .channel()
                .pipeline()
                .firstContext()
                .writeAndFlush(Unpooled.copiedBuffer(bytes, 0, bytes.length / 2))
                .addListener(ChannelFutureListener.CLOSE);
        stayedSilent(context);
    }
}
