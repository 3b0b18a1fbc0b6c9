package loadbalancer.grpc.mapping;

/** The status codes of gRPC, in the order of their numbers (grpc/doc/statuscodes.md). */
public enum GrpcStatus {
    OK,
    CANCELLED,
    UNKNOWN,
    INVALID_ARGUMENT,
    DEADLINE_EXCEEDED,
    NOT_FOUND,
    ALREADY_EXISTS,
    PERMISSION_DENIED,
    RESOURCE_EXHAUSTED,
    FAILED_PRECONDITION,
    ABORTED,
    OUT_OF_RANGE,
    UNIMPLEMENTED,
    INTERNAL,
    UNAVAILABLE,
    DATA_LOSS,
    UNAUTHENTICATED;

    private static final GrpcStatus[] ALL = values();

    /** The number that goes over the wire. */
    public int number() {
        return ordinal();
    }

    /** What a {@code grpc-status} says; {@code UNKNOWN} for a number that is none, null for what is no number. */
    public static GrpcStatus of(CharSequence text) {
        if (text == null || text.length() == 0 || text.length() > 9) {
            return null;
        }
        int number = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c < '0' || c > '9') {
                return null;
            }
            number = number * 10 + c - '0';
        }
        return number < ALL.length ? ALL[number] : UNKNOWN;
    }
}
