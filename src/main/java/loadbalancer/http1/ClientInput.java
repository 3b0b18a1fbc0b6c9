package loadbalancer.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.function.BooleanSupplier;
import loadbalancer.core.ClientPresence;
import loadbalancer.core.Clock;
import loadbalancer.core.DisconnectCheck;
import loadbalancer.core.Requests;

/**
 * Decides how much of a client connection's input is read, knows how long input may have been unread, and looks for the
 * end of the connection behind it. Must be used on the event loop only.
 */
final class ClientInput {
    /** Limit on bytes after the last valid request, which are read and discarded to notice the client's close. */
    private static final int MAX_DISCARDED_BYTES = 1024 * 1024;
    /** Time without input after which a connection that is being read has nothing unread. */
    private static final long BACKLOG_READ_MICROS = 50_000;
    /** Longest time for which a request waits until all input of its client has been read. */
    private static final long MAX_INPUT_WAIT_MICROS = 500_000;

    private final ClientConnection connection;
    private final Channel channel;
    private final Clock clock;
    private final RequestAssembler assembler;
    private final RequestPipeline pipeline;
    private final DisconnectCheck disconnectCheck;
    private final InputBacklog backlog = new InputBacklog();
    /** Whether all input is read, to see the end of the connection, and requests beyond the capacity are rejected. */
    private boolean readsToEnd;
    /** Number of bytes received after the last valid request. */
    private int discardedBytes;
    /** Time since when a request waits until all input has been read; 0 if none does. */
    private long awaitingSinceMicros;

    ClientInput(
            ClientConnection connection,
            Clock clock,
            RequestAssembler assembler,
            RequestPipeline pipeline,
            BooleanSupplier hasPendingWork) {
        this.connection = connection;
        this.clock = clock;
        this.assembler = assembler;
        this.pipeline = pipeline;
        channel = connection.channel();
        disconnectCheck = new DisconnectCheck(clock, hasPendingWork);
    }

    /** The first handler of the connection's channel pipeline. */
    DisconnectCheck disconnectCheck() {
        return disconnectCheck;
    }

    /** The handler before the decoder, which records incoming bytes and discards those after the last valid request. */
    ChannelInboundHandler byteHandler() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                ByteBuf bytes = (ByteBuf) message;
                int length = bytes.readableBytes();
                // A read that does not fill its buffer has emptied the socket.
                boolean isRest = bytes.isWritable();
                backlog.read(clock.nowMicros(), length);
                assembler.countBytes(length);
                if (connection.hasFinalStatus()) {
                    discardedBytes += length;
                    ReferenceCountUtil.release(message);
                    updateAutoRead();
                } else {
                    connection.bytesReceived();
                    context.fireChannelRead(message);
                    updateBacklog(isRest);
                }
            }
        };
    }

    /** Records whether input is left unread; {@code emptied} is whether the last read has emptied the socket. */
    private void updateBacklog(boolean emptied) {
        if (emptied) {
            backlog.end();
        }
        if (!emptied || !channel.config().isAutoRead()) {
            backlog.begin(clock.nowMicros());
        }
    }

    /** Turns reading off while there is no capacity for more input or no use for it. */
    void updateAutoRead() {
        boolean reads;
        if (connection.hasFinalStatus()) {
            reads = readsToEnd || discardedBytes < MAX_DISCARDED_BYTES;
        } else if (assembler.largeBody() != null) {
            reads = assembler.largeBody().wantsMore();
        } else {
            reads = readsToEnd || pipeline.hasCapacity();
        }
        if (!reads) {
            backlog.begin(clock.nowMicros());
        }
        channel.config().setAutoRead(reads);
    }

    /** Adds a request to the pipeline, or its rejection if it is too far behind others. */
    void add(PendingRequest request) {
        if (!pipeline.hasRejections() && (!readsToEnd || pipeline.hasCapacity())) {
            pipeline.add(request);
            return;
        }
        pipeline.addRejection();
        request.message().release();
        if (request.largeBody() != null) {
            request.largeBody().discard();
        }
    }

    /** Called at the end of a read; {@code emptied} is whether the socket was read until it was empty. */
    void readComplete(boolean emptied) {
        if (emptied) {
            // A read may fill its buffer exactly, and nothing is left behind it.
            backlog.end();
        }
        if (readsToEnd && disconnectCheck.hasReachedEnd()) {
            readsToEnd = false;
            updateAutoRead();
        }
    }

    /** Earliest time at which the client may have written what was received at this time. */
    long earliestWriteMicros(long receivedMicros) {
        return backlog.earliestWriteMicros(receivedMicros);
    }

    /** Notices that nothing is unread, if nothing has come for a while though the connection is read. */
    void check(long nowMicros, long lastActiveMicros) {
        if (channel.config().isAutoRead() && nowMicros - lastActiveMicros > BACKLOG_READ_MICROS) {
            backlog.end();
        }
    }

    /**
     * Whether the client is connected. Its end may be behind input that there is no capacity for. To see that end, all
     * input is read, and requests beyond the capacity are rejected, which is better than an attempt for nobody.
     */
    ClientPresence checkPresence() {
        if (connection.isReceivingCurrentBody()) {
            // The rest of the body comes before the end, which is looked for before its last byte is forwarded.
            return channel.isActive() ? ClientPresence.CONNECTED : ClientPresence.GONE;
        }
        readsToEnd = true;
        rejectWaitingLargeBody();
        updateAutoRead();
        ClientPresence presence = disconnectCheck.check();
        if (presence != ClientPresence.UNKNOWN) {
            readsToEnd = false;
            updateAutoRead();
        }
        return presence;
    }

    /** Rejects a request whose large body is being received but not forwarded, if reading it is paused. */
    private void rejectWaitingLargeBody() {
        RequestBodyForwarder waiting = assembler.largeBody();
        if (waiting != null && !waiting.wantsMore() && pipeline.drop(waiting)) {
            waiting.discard();
            pipeline.addRejection();
        }
    }

    /**
     * Whether the client sends faster than it is read, so that its end may be unread. The next request then waits for a
     * while, as an attempt at it would not be made.
     */
    boolean mustAwaitEnd() {
        long nowMicros = clock.nowMicros();
        // What is unread behind an incomplete request is its own body.
        boolean isUncertain = pipeline.isCompleteRequestNext()
                && nowMicros - disconnectCheck.seenMicros() >= Requests.CLIENT_CHECK_MICROS
                && checkPresence() == ClientPresence.UNKNOWN;
        if (!isUncertain) {
            awaitingSinceMicros = 0;
            return false;
        }
        if (awaitingSinceMicros == 0) {
            awaitingSinceMicros = nowMicros;
        }
        return nowMicros - awaitingSinceMicros < MAX_INPUT_WAIT_MICROS;
    }
}
