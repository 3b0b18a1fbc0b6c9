package loadbalancer.grpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http2.DefaultHttp2GoAwayFrame;
import io.netty.handler.codec.http2.DefaultHttp2PingFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2Exception;
import io.netty.handler.codec.http2.Http2PingFrame;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.core.ClientPresence;
import loadbalancer.core.Clock;
import loadbalancer.core.DisconnectCheck;
import loadbalancer.core.EndReasons;
import loadbalancer.core.GracefulStop;
import loadbalancer.core.Log;
import loadbalancer.core.PieceBuffer;

/**
 * One connection of a gRPC client: its calls, and its end in a graceful stop. As the last handler of the channel's
 * pipeline it gets the frames of the connection itself.
 */
final class GrpcClientConnection extends ChannelInboundHandlerAdapter {
    /** Time after which a client that does not read on is given up, or later if reading what it was sent takes longer. */
    private static final long UNREAD_RESPONSE_MICROS = 10_000_000;
    /** Replaces {@link #UNREAD_RESPONSE_MICROS} while others wait. */
    private static final long MIN_UNREAD_MICROS = 2_000_000;

    private static final long MICROS_PER_SECOND = 1_000_000;
    /** Four fifths of the rate of the slowest sound client, 64 kB/s. */
    private static final long MIN_READ_BYTES_PER_SECOND = 51_200;
    /** Bytes that the kernels hold for a connection at the most. */
    private static final long MAX_KERNEL_BYTES = 32L * 1024 * 1024;

    /** Content of the PING that follows the last response; its acknowledgement shows that the client has read all. */
    private static final long DELIVERY_PING = 0x6c617374;

    private static final int ANY_STREAM = Integer.MAX_VALUE;

    private final Channel channel;
    private final Clock clock;
    private final EndReasons endReasons;
    private final DisconnectCheck disconnectCheck;
    private final long openedMicros;
    /** Calls that are open, or whose response is not with the kernel yet. */
    private final Set<GrpcStream> calls = new HashSet<>();
    /** Time at which something was last received, or a response was passed to the kernel. */
    private long lastActiveMicros;
    /** Bytes sent since the client last sent anything, which it may still have to read. */
    private long sentSinceInputBytes;

    /** Whether a call was ended because its response was not read, and nothing has been received since. */
    private boolean hasStoppedReading;

    private boolean hasCarriedCalls;
    /** Whether the client knows which calls are the last that are served. */
    private boolean lastStreamAnnounced;
    /** Time at which {@link #DELIVERY_PING} was sent; 0 before that. */
    private long pingMicros;

    private boolean pingAcknowledged;

    GrpcClientConnection(Channel channel, Clock clock, EndReasons endReasons) {
        this.endReasons = endReasons;
        this.channel = channel;
        this.clock = clock;
        disconnectCheck = new DisconnectCheck(clock, () -> true);
        openedMicros = clock.nowMicros();
        lastActiveMicros = openedMicros;
    }

    /** The first handler of the channel's pipeline. */
    DisconnectCheck disconnectCheck() {
        return disconnectCheck;
    }

    /** The handler before the codec, which records bytes in both directions. */
    ChannelHandler byteHandler() {
        return new ChannelDuplexHandler() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object bytes) {
                lastActiveMicros = clock.nowMicros();
                sentSinceInputBytes = 0;
                hasStoppedReading = false;
                context.fireChannelRead(bytes);
            }

            @Override
            public void write(ChannelHandlerContext context, Object bytes, ChannelPromise promise) {
                sentSinceInputBytes += ((ByteBuf) bytes).readableBytes();
                context.write(bytes, promise);
            }
        };
    }

    void callBegun(GrpcStream call) {
        calls.add(call);
        hasCarriedCalls = true;
    }

    /** The last frame of the call's response is with the kernel, or can't be sent any more. */
    void callEnded(GrpcStream call) {
        calls.remove(call);
        lastActiveMicros = clock.nowMicros();
    }

    /** Warns the client of a stop, without a last stream: calls in transit are still served (RFC 9113, section 6.8). */
    void announceStop() {
        goAway(ANY_STREAM);
    }

    /** Ends all open calls with a status. */
    void cutCallsShort() {
        List.copyOf(calls).forEach(GrpcStream::cutShort);
    }

    /** Ends calls whose client has stopped reading their responses, sooner while others wait for their streams. */
    void endUnreadCalls(long nowMicros, boolean othersWait) {
        long behind = calls.stream().filter(GrpcStream::isBehind).count();
        if (behind == 0) {
            return;
        }
        // The client may read all of them in turn.
        long limitMicros = maxReadMicros(
                othersWait ? MIN_UNREAD_MICROS : UNREAD_RESPONSE_MICROS,
                sentSinceInputBytes + behind * PieceBuffer.MAX_BLOCK_BYTES);
        for (GrpcStream call : List.copyOf(calls)) {
            if (call.isBehind() && nowMicros - call.progressMicros() > limitMicros) {
                endReasons.record(EndReasons.Subject.REQUEST_ABANDONED, "response not read", call.id());
                hasStoppedReading = true;
                call.endUnread();
            }
        }
    }

    /** Announces the last stream, and closes once no call is left, or its client does not read any more. */
    void closeIfIdle(long nowMicros) {
        if (!lastStreamAnnounced) {
            announceLastStream(nowMicros);
        } else if (calls.isEmpty() && hasStoppedReading) {
            closeNow();
        } else if (calls.isEmpty()) {
            closeOnceDelivered(nowMicros);
        } else if (!hasOpenCalls() && nowMicros - lastActiveMicros > maxReadMicros()) {
            closeNow();
        }
    }

    /**
     * Closes when the client has acknowledged a PING behind the last response. A frame that the client sends while a part
     * of the response is in the kernel only would reset a closed connection, and that part would be lost.
     */
    private void closeOnceDelivered(long nowMicros) {
        if (pingMicros == 0) {
            pingMicros = nowMicros;
            channel.writeAndFlush(new DefaultHttp2PingFrame(DELIVERY_PING));
            return;
        }
        if (pingAcknowledged) {
            channel.close();
        } else if (leavesPingUnread(nowMicros)) {
            closeNow();
        }
    }

    /** Whether the acknowledgement of the PING is not waited for any longer, whatever else the client sends. */
    private boolean leavesPingUnread(long nowMicros) {
        if (!hasCarriedCalls) {
            return nowMicros - pingMicros > GracefulStop.QUIET_PERIOD_MICROS;
        }
        return nowMicros - Math.max(pingMicros, lastActiveMicros) > maxReadMicros()
                || nowMicros - pingMicros > maxReadMicros(UNREAD_RESPONSE_MICROS, MAX_KERNEL_BYTES);
    }

    /** Time that the slowest sound client needs to read what was sent since it last sent anything. */
    private long maxReadMicros() {
        return maxReadMicros(UNREAD_RESPONSE_MICROS, sentSinceInputBytes);
    }

    private static long maxReadMicros(long minMicros, long unreadBytes) {
        long kernelBytes = Math.min(unreadBytes, MAX_KERNEL_BYTES);
        return Math.max(minMicros, kernelBytes * MICROS_PER_SECOND / MIN_READ_BYTES_PER_SECOND);
    }

    /** Announces it behind all calls that have arrived; the first call of a new connection may still be in transit. */
    private void announceLastStream(long nowMicros) {
        if (nowMicros - openedMicros >= GracefulStop.QUIET_PERIOD_MICROS
                && disconnectCheck.check() == ClientPresence.CONNECTED) {
            lastStreamAnnounced = true;
            goAway(0);
        }
    }

    /** Closes not through the codec, which would wait until what is unsent is with the kernel. */
    private void closeNow() {
        endReasons.record(EndReasons.Subject.CLIENT_CONNECTION_CLOSED, "response not read");
        channel.unsafe().close(channel.voidPromise());
    }

    private boolean hasOpenCalls() {
        return calls.stream().anyMatch(call -> !call.isOver());
    }

    private void goAway(int extraStreams) {
        DefaultHttp2GoAwayFrame frame = new DefaultHttp2GoAwayFrame(Http2Error.NO_ERROR, Unpooled.EMPTY_BUFFER);
        frame.setExtraStreamIds(extraStreams);
        channel.writeAndFlush(frame);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object frame) {
        if (frame instanceof Http2PingFrame ping && ping.ack() && ping.content() == DELIVERY_PING) {
            pingAcknowledged = true;
        }
        ReferenceCountUtil.release(frame);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof Http2Exception) {
            // The codec sends GOAWAY with the proper code, and closes.
            return;
        }
        if (!(cause instanceof IOException)) {
            Log.fault("a gRPC client's connection failed", cause);
        }
        context.close();
    }
}
