package loadbalancer.http1;

import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.HttpResponseStatus;
import loadbalancer.core.EndReasons;
import loadbalancer.core.WriteProgress;

/** Detects and closes a client connection that is idle or too slow. Times are microseconds of the sidecar's clock. */
final class ConnectionTimeouts {
    /** Limit for a connection without any request so far, and for a pause in the middle of a buffered body. */
    private static final long SILENT_CLIENT_MICROS = 2_000_000;
    /** Limit for a request head. Clients may take 2 s to send one. */
    private static final long MAX_HEAD_MICROS = 3_000_000;
    /** Time that a buffered body may take in addition to its bytes at {@link #MIN_BODY_BYTES_PER_SECOND}. */
    private static final long BODY_GRACE_MICROS = 4_000_000;
    /** A quarter of the slowest rate at which clients send bodies, 64 kB/s. */
    private static final long MIN_BODY_BYTES_PER_SECOND = 16_000;
    /** A response of which the client takes nothing for longer than this is not read any more; see {@link WriteProgress}. */
    private static final long UNREAD_RESPONSE_MICROS = 10_000_000;
    /** Idle limit. Clients reopen connections that were idle for 2 s or more when they need them. */
    private static final long IDLE_MICROS = 4_000_000;

    private final ClientConnection connection;
    private final RequestAssembler assembler;
    private final HttpServer server;
    private final long openedMicros;
    private long lastActiveMicros;
    /** Time of the first check that found the connection idle too long; 0 or before the last activity if none has. */
    private long idleDetectedMicros;
    /** Whether the client takes its responses. */
    private final WriteProgress responseProgress;

    ConnectionTimeouts(ClientConnection connection, RequestAssembler assembler, HttpServer server, long openedMicros) {
        this.connection = connection;
        this.assembler = assembler;
        this.server = server;
        this.openedMicros = openedMicros;
        lastActiveMicros = openedMicros;
        responseProgress = new WriteProgress(connection.channel(), UNREAD_RESPONSE_MICROS, openedMicros);
    }

    /** Records that a part of a response was written to the channel. */
    void responseWritten(int bytes) {
        responseProgress.add(bytes);
    }

    /** Records that something was received or that a response was written or delivered. */
    void markActive(long nowMicros) {
        lastActiveMicros = nowMicros;
    }

    /** Time at which something was last received or a response was written or delivered. */
    long lastActiveMicros() {
        return lastActiveMicros;
    }

    /** Time for which the connection has been idle, in microseconds; 0 if it is not idle. */
    long idleMicros(long nowMicros) {
        return connection.isIdle() && !connection.hasFinalStatus() ? nowMicros - lastActiveMicros : 0;
    }

    /** Ends what takes too long: a partly received request with an error response, an idle connection without one. */
    void check(long nowMicros) {
        connection.checkInput(nowMicros);
        RequestBodyForwarder largeBody = assembler.largeBody();
        if (largeBody != null && largeBody.isStalled(nowMicros, lastActiveMicros)) {
            recordClose("large body stalled");
            connection.abandonBody(HttpResponseStatus.REQUEST_TIMEOUT);
        }
        if (responseProgress.isStalled(nowMicros) && connection.response().isSending()) {
            recordClose("response not read");
            connection.response().abandon();
        }
        if (!connection.hasNoPendingResponse()) {
            return;
        }
        if (assembler.isReading() && largeBody == null && isTooSlow(nowMicros)) {
            recordClose(assembler.isReadingBody() ? "slow body" : "slow head");
            connection.respondAndClose(HttpResponseStatus.REQUEST_TIMEOUT);
        } else if (idleMicros(nowMicros) <= idleLimitMicros()) {
            idleDetectedMicros = 0;
        } else if (idleDetectedMicros < lastActiveMicros) {
            // After a stall of the event loop a request may still be unread, so only the next check closes.
            idleDetectedMicros = nowMicros;
        } else {
            closeIfStillIdle("idle");
        }
    }

    /**
     * Closes a connection that has been idle since before {@code idleSinceMicros}, or has received no more of a partial
     * request since before {@code partialSinceMicros}. A response that is being sent is left to {@link #check}.
     */
    void closeIfIdle(long idleSinceMicros, long partialSinceMicros) {
        if (connection.isIdle() && lastActiveMicros < idleSinceMicros) {
            closeIfStillIdle("shutdown");
        } else if (connection.hasNoPendingResponse()
                && !connection.response().isWriting()
                && lastActiveMicros < partialSinceMicros) {
            recordClose("shutdown within a request");
            connection.channel().close();
        }
    }

    /**
     * Closes an idle connection, unless a last read finds a request: a close while that was unread would reset the
     * client and lose a request that the kernel has acknowledged.
     */
    void closeIfStillIdle(String reason) {
        ((AbstractNioChannel.NioUnsafe) connection.channel().unsafe()).read();
        if (connection.isIdle()) {
            recordClose(reason);
            connection.channel().close();
        }
    }

    private void recordClose(String reason) {
        server.endReasons().record(EndReasons.Subject.CLIENT_CONNECTION_CLOSED, reason);
    }

    private long idleLimitMicros() {
        return server.idleLimitMicros(connection.hasRequests() ? IDLE_MICROS : SILENT_CLIENT_MICROS);
    }

    private boolean isTooSlow(long nowMicros) {
        long sinceMicros = assembler.readingSinceMicros();
        if (!assembler.isReadingBody()) {
            return nowMicros - (connection.hasRequests() ? sinceMicros : openedMicros) > MAX_HEAD_MICROS;
        }
        long limitMicros = BODY_GRACE_MICROS + assembler.bufferedBytes() * 1_000_000L / MIN_BODY_BYTES_PER_SECOND;
        return nowMicros - lastActiveMicros > SILENT_CLIENT_MICROS || nowMicros - sinceMicros > limitMicros;
    }
}
