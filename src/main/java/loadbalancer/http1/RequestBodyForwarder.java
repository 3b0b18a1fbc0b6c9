package loadbalancer.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import loadbalancer.core.Clock;
import loadbalancer.core.PieceBuffer;
import loadbalancer.core.WriteProgress;

/**
 * Forwards the body of a large request to an upstream while it is received. The beginning is held, and another attempt
 * can start with it until a later piece has been forwarded; from then on the body is bound to the current attempt. The
 * client is read no faster than the upstream accepts.
 */
final class RequestBodyForwarder {
    /** Limit on held bytes while there is no attempt. It is generous, as a disconnect is noticed only by reading. */
    private static final int MAX_WAITING_BYTES = 1024 * 1024;
    /** A body of which nothing is received, or taken by its upstream, for this long is abandoned. */
    private static final long STALL_MICROS = 5_000_000;

    private final Clock clock;
    private final BufferBudget budget;
    /** Length of the whole body; -1 if unknown. */
    private final long lengthBytes;
    /** Runs when {@link #wantsMore} may have changed. */
    private final Runnable onDemandChange;

    private final PieceBuffer held = new PieceBuffer(Unpooled::buffer);
    /** Memory of {@link #held}, as the budget knows it. */
    private int heldCapacity;

    private long receivedBytes;
    /** The last piece, held after all others were forwarded until the client's connection is checked; else null. */
    private ByteBuf lastPiece;
    /** Whether the whole body was received. */
    private boolean complete;

    private long completeAtMicros;
    /** Time at which a piece was last received, the upstream became writable again, or an attempt started. */
    private long lastProgressMicros;
    /** Whether the held beginning was released, because a later piece was forwarded or the body discarded. */
    private boolean partlyForwarded;
    /** Whether the end of the body was written to an upstream. */
    private boolean endWritten;

    private boolean discarded;
    /** The attempt that the body is streamed to; null if there is none. */
    private UpstreamCall currentCall;
    /** The connection of {@link #currentCall}. */
    private Channel upstreamChannel;
    /** Whether the upstream takes the body; null like its channel. */
    private WriteProgress upstreamProgress;

    /** Takes ownership of {@code beginning}; {@code lengthBytes} is -1 if unknown. */
    RequestBodyForwarder(
            Clock clock, BufferBudget budget, long lengthBytes, ByteBuf beginning, Runnable onDemandChange) {
        this.clock = clock;
        this.budget = budget;
        this.lengthBytes = lengthBytes;
        this.onDemandChange = onDemandChange;
        receivedBytes = beginning.readableBytes();
        hold(beginning);
        lastProgressMicros = clock.nowMicros();
    }

    /** Holds or forwards the next piece, written by the client at {@code writtenMicros}; takes ownership of it. */
    void add(ByteBuf piece, boolean last, long writtenMicros) {
        lastProgressMicros = clock.nowMicros();
        receivedBytes += piece.readableBytes();
        if (last) {
            complete = true;
            completeAtMicros = writtenMicros;
        }
        if (discarded) {
            piece.release();
        } else if (upstreamChannel == null) {
            hold(piece);
        } else {
            releaseHeld();
            if (last) {
                lastPiece = piece;
            } else {
                upstreamProgress.add(piece.readableBytes());
                upstreamChannel.writeAndFlush(new DefaultHttpContent(piece));
            }
        }
    }

    /** Whether the last piece is held until {@link #sendLastPiece}. */
    boolean hasHeldLastPiece() {
        return lastPiece != null;
    }

    /** Forwards the last piece, after which the request may be executed. Called while the client is still connected. */
    void sendLastPiece() {
        if (lastPiece != null) {
            upstreamChannel.write(new DefaultHttpContent(lastPiece));
            lastPiece = null;
            writeEnd(currentCall, upstreamChannel);
        }
    }

    /** Whether to read more from the client, because the upstream accepts it, it can be held, or it is discarded. */
    boolean wantsMore() {
        if (discarded) {
            return true;
        }
        return upstreamChannel != null
                ? upstreamChannel.isWritable()
                : held.readableBytes() < MAX_WAITING_BYTES && budget.hasCapacity();
    }

    boolean isComplete() {
        return complete;
    }

    /** Whether the client may have written the whole body, if at most so many bytes can be unread. */
    boolean mayBeWritten(long maxUnreadBytes) {
        return lengthBytes < 0 || lengthBytes - receivedBytes <= maxUnreadBytes;
    }

    /** Time at which the client wrote the last byte, or earlier. */
    long completeAtMicros() {
        return completeAtMicros;
    }

    /** Whether the body no longer moves, though {@code lastReceivedMicros} is when its client last sent anything. */
    boolean isStalled(long nowMicros, long lastReceivedMicros) {
        boolean isNotTaken = upstreamProgress != null && upstreamProgress.isStalled(nowMicros);
        if (upstreamChannel != null && !upstreamChannel.isWritable()) {
            return isNotTaken;
        }
        return nowMicros - Math.max(lastReceivedMicros, lastProgressMicros) > STALL_MICROS;
    }

    /** Whether a new attempt can start and would get the whole body. */
    boolean canStart() {
        return !partlyForwarded && (complete || currentCall == null);
    }

    /** Sends the head and the held pieces; later pieces are forwarded as received. Requires {@link #canStart}. */
    void start(UpstreamCall call, Channel channel, HttpRequest template) {
        lastProgressMicros = clock.nowMicros();
        channel.write(headOf(template));
        held.retainedDuplicates().forEach(block -> channel.write(new DefaultHttpContent(block)));
        if (complete) {
            writeEnd(call, channel);
        } else {
            currentCall = call;
            upstreamChannel = channel;
            upstreamProgress = new WriteProgress(channel, STALL_MICROS, lastProgressMicros);
            upstreamProgress.add(held.readableBytes());
            channel.flush();
            onDemandChange.run();
        }
    }

    /** Continues, now that the upstream's connection is writable again. */
    void upstreamWritable() {
        lastProgressMicros = clock.nowMicros();
        onDemandChange.run();
    }

    /** Detaches the body from an attempt that has ended. */
    void attemptEnded(UpstreamCall call) {
        if (currentCall == call) {
            currentCall = null;
            upstreamChannel = null;
            upstreamProgress = null;
            releaseLastPiece();
            onDemandChange.run();
        }
    }

    /** Releases held pieces and discards all later ones, since no attempt needs the body any more. */
    void discard() {
        discarded = true;
        releaseHeld();
        releaseLastPiece();
    }

    /** Discards the body, and cancels an attempt that has a part of it, since the client will not send the rest. */
    void abort() {
        discard();
        if (currentCall != null && !endWritten) {
            currentCall.cancel();
        }
    }

    private HttpRequest headOf(HttpRequest template) {
        HttpRequest head = new DefaultHttpRequest(
                template.protocolVersion(), template.method(), template.uri(), template.headers());
        if (lengthBytes >= 0) {
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, lengthBytes);
        } else {
            head.headers()
                    .remove(HttpHeaderNames.CONTENT_LENGTH)
                    .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        return head;
    }

    private void hold(ByteBuf piece) {
        held.add(piece);
        piece.release();
        updateBudget();
    }

    private void updateBudget() {
        budget.add(held.capacity() - heldCapacity);
        heldCapacity = held.capacity();
    }

    private void writeEnd(UpstreamCall call, Channel channel) {
        endWritten = true;
        // A failed write closes the connection, which ends the call.
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(f -> {
            if (f.isSuccess()) {
                call.markWritten();
            }
        });
    }

    private void releaseHeld() {
        partlyForwarded = true;
        held.release();
        updateBudget();
    }

    private void releaseLastPiece() {
        if (lastPiece != null) {
            lastPiece.release();
            lastPiece = null;
        }
    }
}
