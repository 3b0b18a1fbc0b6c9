package loadbalancer.grpc.mapping;

import loadbalancer.balancing.Balancer.Outcome;

/**
 * What the end of an attempt means: for the module its outcome, for the client the status, should this be the last attempt.
 * A table without state; each line of it is tested.
 */
public record AttemptEnd(Outcome outcome, GrpcStatus code, String message) {

    /**
     * A {@code grpc-status} came. The codes that a service gives for what it was asked are the client's matter: they say
     * nothing against the node, another node would say the same, and they are passed on. {@code turnedAway}: the node says
     * that it has not looked at the call.
     */
    public static AttemptEnd ofStatus(GrpcStatus code, String message, boolean turnedAway) {
        return switch (code) {
            case OK -> new AttemptEnd(Outcome.OK, code, message);
            case CANCELLED,
                    INVALID_ARGUMENT,
                    NOT_FOUND,
                    ALREADY_EXISTS,
                    PERMISSION_DENIED,
                    FAILED_PRECONDITION,
                    ABORTED,
                    OUT_OF_RANGE,
                    UNIMPLEMENTED,
                    UNAUTHENTICATED -> new AttemptEnd(Outcome.INVALID, code, message);
            case UNAVAILABLE, RESOURCE_EXHAUSTED, DEADLINE_EXCEEDED -> new AttemptEnd(
                    turnedAway ? Outcome.REJECTED : Outcome.ERROR, code, message);
            case UNKNOWN, INTERNAL, DATA_LOSS -> new AttemptEnd(Outcome.ERROR, code, message);
        };
    }

    /** An answer that is not gRPC's (grpc/doc/http-grpc-status-mapping.md): some other server, or a proxy's word. */
    public static AttemptEnd ofHttp(int status, boolean turnedAway) {
        GrpcStatus code =
                switch (status) {
                    case 400 -> GrpcStatus.INTERNAL;
                    case 401 -> GrpcStatus.UNAUTHENTICATED;
                    case 403 -> GrpcStatus.PERMISSION_DENIED;
                    case 404 -> GrpcStatus.UNIMPLEMENTED;
                    case 429, 502, 503, 504 -> GrpcStatus.UNAVAILABLE;
                    default -> GrpcStatus.UNKNOWN;
                };
        Outcome outcome = turnedAway && (status == 503 || status == 504)
                ? Outcome.REJECTED
                : status >= 400 && status < 500 && status != 429 ? Outcome.INVALID : Outcome.ERROR;
        return new AttemptEnd(outcome, code, "HTTP status " + status);
    }

    /** The stream was reset with this code (RFC 9113, section 7). Only a refused one is known not to have been worked on. */
    public static AttemptEnd ofReset(long errorCode) {
        if (errorCode == 0x7) {
            return new AttemptEnd(Outcome.REJECTED, GrpcStatus.UNAVAILABLE, "the stream was refused");
        }
        GrpcStatus code =
                switch ((int) Math.min(errorCode, 0xff)) {
                    case 0x8 -> GrpcStatus.CANCELLED;
                    case 0xb -> GrpcStatus.RESOURCE_EXHAUSTED;
                    case 0xc -> GrpcStatus.PERMISSION_DENIED;
                    default -> GrpcStatus.INTERNAL;
                };
        return new AttemptEnd(Outcome.RESET, code, "the stream was reset with code " + errorCode);
    }

    /** The answer ended without a status: whatever came before it is no success. */
    public static AttemptEnd withoutStatus() {
        return new AttemptEnd(Outcome.MALFORMED, GrpcStatus.INTERNAL, "the answer ended without a status");
    }

    /** The other side goes away and has not begun streams above the last it names (RFC 9113, section 6.8). */
    public static AttemptEnd aboveLastStream() {
        return new AttemptEnd(
                Outcome.NOT_SENT, GrpcStatus.UNAVAILABLE, "the connection went away before the call was begun");
    }

    /** {@code written}: the whole request has been written to it. */
    public static AttemptEnd connectionLost(boolean written) {
        return new AttemptEnd(
                written ? Outcome.RESET : Outcome.CONNECT_FAILED, GrpcStatus.UNAVAILABLE, "the connection was lost");
    }

    public static AttemptEnd timedOut(boolean written) {
        return new AttemptEnd(
                written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED, GrpcStatus.DEADLINE_EXCEEDED, "no answer in time");
    }
}
