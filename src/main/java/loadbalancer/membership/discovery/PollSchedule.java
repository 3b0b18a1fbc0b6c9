package loadbalancer.membership.discovery;

import java.util.random.RandomGenerator;

/**
 * How long the calls of a watch may wait at discovery for a change, and the timeouts of calls without a response. If
 * discovery does not respond, a change counts as notified 2 s after the wait of the call is over (6 s after discovery
 * stopped responding, if that is later), whether or not it arrived, and a draining upstream must get no new requests
 * some hundred milliseconds after that. Within these 2 s the watch must therefore time out, open a new connection and
 * read a response.
 *
 * @param maxWaitMillis              longest wait that a call asks for
 * @param responseSlackMillis        timeout of a response beyond the wait of its call
 * @param restartTimeoutMillis       timeout of a call that was restarted after a timeout and asks for no wait
 * @param completeListTimeoutMillis  timeout of a call for the complete list, which may queue at discovery
 * @param addressChangeTimeoutMillis the same for the first call to a new address: the new service's list counts as
 *                                   notified {@value #ADDRESS_CHANGE_NOTIFIED_AFTER_MILLIS} ms after the change, and a
 *                                   call that is given up loses its place in the queue
 * @param alwaysRestarts             whether a call is restarted at once after every timeout, not only after the first
 *                                   one; for an agent on the same machine
 */
record PollSchedule(
        long maxWaitMillis,
        long responseSlackMillis,
        long restartTimeoutMillis,
        long completeListTimeoutMillis,
        long addressChangeTimeoutMillis,
        boolean alwaysRestarts) {
    /** If a call gets no response, changes count as notified this long after the end of its wait. */
    static final long NOTIFIED_AFTER_MILLIS = 2_000;
    /** Time after a change of discovery's address at which the list of the new service counts as notified. */
    static final long ADDRESS_CHANGE_NOTIFIED_AFTER_MILLIS = 4_000;
    /** Longest wait at a service for a whole fleet, which should get few calls. */
    private static final long SERVICE_WAIT_MILLIS = 20_000;
    /** Longest wait at an agent on the same machine. Short, because its changes may count as notified at once. */
    private static final long AGENT_WAIT_MILLIS = 1_000;

    private static final PollSchedule AGENT = new PollSchedule(AGENT_WAIT_MILLIS, 250, 250, 500, 500, true);

    /**
     * Returns the schedule of a watch.
     *
     * @param localAgent         whether discovery is an agent on the same machine
     * @param pollIntervalMicros longest time for which a sidecar without a watch may use its list before it polls
     *                           again; 0 or less if unlimited
     */
    static PollSchedule of(boolean localAgent, long pollIntervalMicros) {
        if (localAgent) {
            return AGENT;
        }
        long maxWaitMillis = pollIntervalMicros <= 0
                ? SERVICE_WAIT_MILLIS
                : Math.min(SERVICE_WAIT_MILLIS, pollIntervalMicros / 1000);
        return new PollSchedule(maxWaitMillis, 500, 1_500, 4_000, 3_100, false);
    }

    /**
     * Draws the wait of a call: up to a quarter below the maximum, so that sidecars that started together do not stay
     * in step.
     */
    long waitMillis(RandomGenerator random) {
        return maxWaitMillis - random.nextLong(maxWaitMillis / 4 + 1);
    }
}
