package loadbalancer.balancing;

/** Timeouts of one request class on one upstream. */
final class ClassTimeouts {
    /** Timeouts since the class's last response from the upstream. */
    int consecutiveTimeouts;
    /** Number of attempts sent since the timeout threshold was reached; each doubles the next backoff. */
    int backoffCount;
    /** End of the current backoff, microseconds. */
    long backoffUntilMicros;
}
