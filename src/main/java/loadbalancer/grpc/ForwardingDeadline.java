package loadbalancer.grpc;

/**
 * Decides when a unary response that is being forwarded has to end: at its deadline, or later if only its client takes
 * it slowly. After the deadline the response goes on until its upstream is waited for, or until the time that the client
 * has set itself. No I/O; times are microseconds.
 */
final class ForwardingDeadline {
    /** Interval of the checks after the deadline. */
    static final long CHECK_MICROS = 50_000;
    /** Time for which an upstream may send nothing after the deadline, while the client has taken all it has sent. */
    private static final long MAX_UPSTREAM_PAUSE_MICROS = 200_000;

    private final long deadlineMicros;
    private final long clientEndMicros;
    /** Time since which the upstream is waited for; 0 if it is not, or the client has not been behind yet. */
    private long waitingSinceMicros;

    private boolean clientWasBehind;

    /** {@code clientEndMicros} is {@code MAX_VALUE} if the client has set no time. */
    ForwardingDeadline(long deadlineMicros, long clientEndMicros) {
        this.deadlineMicros = deadlineMicros;
        this.clientEndMicros = clientEndMicros;
    }

    /** Time of the first check. */
    long deadlineMicros() {
        return deadlineMicros;
    }

    /** Whether the response has to end now; {@code clientIsBehind} if the client has not taken all that has arrived. */
    boolean hasPassed(long nowMicros, boolean clientIsBehind) {
        if (nowMicros < deadlineMicros) {
            return false;
        }
        if (nowMicros >= clientEndMicros) {
            return true;
        }
        if (clientIsBehind) {
            clientWasBehind = true;
            waitingSinceMicros = 0;
            return false;
        }
        if (waitingSinceMicros == 0) {
            waitingSinceMicros = nowMicros;
        }
        return !clientWasBehind || nowMicros - waitingSinceMicros >= MAX_UPSTREAM_PAUSE_MICROS;
    }
}
