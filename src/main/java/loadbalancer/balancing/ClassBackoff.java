package loadbalancer.balancing;

import java.util.List;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.balancing.Balancer.RequestClass;

/**
 * Backs a request class off an upstream that does not respond to it but does to other classes. Each attempt
 * after a backoff doubles the next backoff, up to a limit; one successful response ends it.
 */
final class ClassBackoff {
    /** Consecutive timeouts of a class after which it is backed off the upstream. */
    private static final int TIMEOUT_THRESHOLD = 3;

    private static final long BASE_BACKOFF_MICROS = 500_000;
    private static final int MAX_DOUBLINGS = 4;

    private ClassBackoff() {}

    /**
     * Returns whether the request's class is currently backed off the upstream. Backoffs are ignored if they
     * cover more than half of the ready upstreams.
     */
    static boolean isBackedOff(
            long nowMicros, TrackedRequest request, TrackedUpstream upstream, List<TrackedUpstream> ready) {
        return isBackedOff(nowMicros, request.requestClass, upstream)
                && 2 * countBackedOff(nowMicros, request.requestClass, ready) <= ready.size();
    }

    private static int countBackedOff(long nowMicros, RequestClass requestClass, List<TrackedUpstream> ready) {
        int count = 0;
        for (TrackedUpstream upstream : ready) {
            count += isBackedOff(nowMicros, requestClass, upstream) ? 1 : 0;
        }
        return count;
    }

    private static boolean isBackedOff(long nowMicros, RequestClass requestClass, TrackedUpstream upstream) {
        if (upstream.timeoutsByClass.isEmpty()) {
            return false;
        }
        ClassTimeouts timeouts = upstream.timeoutsByClass.get(requestClass.name());
        return timeouts != null
                && timeouts.consecutiveTimeouts >= TIMEOUT_THRESHOLD
                && nowMicros < timeouts.backoffUntilMicros;
    }

    /** Starts the next backoff if the class has reached the timeout threshold on the upstream. */
    static void recordSend(long nowMicros, RequestClass requestClass, TrackedUpstream upstream) {
        ClassTimeouts timeouts = upstream.timeoutsByClass.get(requestClass.name());
        if (timeouts != null && timeouts.consecutiveTimeouts >= TIMEOUT_THRESHOLD) {
            int doublings = Math.min(timeouts.backoffCount++, MAX_DOUBLINGS);
            timeouts.backoffUntilMicros = nowMicros + (BASE_BACKOFF_MICROS << doublings);
        }
    }

    static void recordOutcome(RequestClass requestClass, TrackedUpstream upstream, Outcome outcome) {
        if (outcome == Outcome.OK) {
            upstream.timeoutsByClass.remove(requestClass.name());
        } else if (outcome == Outcome.TIMEOUT) {
            upstream.timeoutsByClass.computeIfAbsent(requestClass.name(), name -> new ClassTimeouts())
                    .consecutiveTimeouts++;
        }
    }
}
