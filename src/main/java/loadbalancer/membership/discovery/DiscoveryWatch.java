package loadbalancer.membership.discovery;

import static java.net.HttpURLConnection.HTTP_BAD_REQUEST;
import static java.net.HttpURLConnection.HTTP_CLIENT_TIMEOUT;
import static java.net.HttpURLConnection.HTTP_INTERNAL_ERROR;
import static java.net.HttpURLConnection.HTTP_OK;

import java.util.SplittableRandom;
import loadbalancer.core.Backoff;
import loadbalancer.core.Clock;
import loadbalancer.core.Log;
import loadbalancer.core.Timers;
import loadbalancer.membership.EndpointList;
import loadbalancer.membership.PartialEndpointList;

/**
 * Watches discovery with long polls, one call after another, from the balancer's first poll on. A call that gets no
 * response within the timeout of its {@link PollSchedule} is restarted at once, and so is the first call to a new
 * address if it fails in any way. Any other failure, or a second one in a row, is reported to the balancer, which
 * decides when to poll again. A watch of an agent on the same machine polls by itself: it restarts each call that times
 * out, and repeats a failed one after a backoff. The current endpoint list stays in use meanwhile. All methods are
 * called on the event loop; a {@link DiscoveryClient} sends the calls.
 */
public final class DiscoveryWatch {
    private static final String PATH = "/registry/instances";
    private static final int HTTP_TOO_MANY_REQUESTS = 429;
    /**
     * Backoff after a failed call to an agent on the same machine. Short, because its changes may count as notified at
     * once.
     */
    private static final long AGENT_RETRY_MICROS = 150_000;
    /** First backoff after a failed call to a service that a whole fleet calls. */
    private static final long INITIAL_RETRY_MICROS = 1_000_000;

    private static final long MAX_RETRY_MICROS = 2_000_000;
    /**
     * Minimum time between the starts of calls. A watch counts as unbroken while its calls follow within 200 ms of each
     * other.
     */
    private static final long MIN_CALL_INTERVAL_MILLIS = 100;
    /** Value of {@link #currentCall} while no call is open. */
    private static final long IDLE = 0;
    /** Value of {@link #currentCall} once the watch has ended: no call is open, and none may start. */
    private static final long STOPPED = -1;

    private final Timers timers;
    private final Clock clock;
    private final Listener listener;
    private final DiscoveryClient client;
    private final boolean selfPolling;
    private final Backoff backoff;
    private final PollSchedule schedule;
    private final SplittableRandom random;
    /**
     * Whether the current list may be outdated, as after a failure. Calls then ask for no wait, so that it is confirmed
     * at once.
     */
    private boolean listUnconfirmed;

    private long generation;
    /** Whether the next call must ask for the complete list, as after a malformed response. */
    private boolean completeListNeeded;
    /** Whether the balancer has polled and waits for a response, even for one without changes. */
    private boolean pollPending;

    private Timers.Timer responseTimer;
    /** Calls that were restarted at once since the last response or address change. */
    private int consecutiveRestarts;
    /** Whether a failure has been logged since the last response; only the first failure of an agent is logged. */
    private boolean failureLogged;
    /** Whether discovery has a new address and has not responded there yet. */
    private boolean addressChanged;
    /**
     * Number of the open call, or {@link #IDLE} or {@link #STOPPED}. Callbacks of calls with other numbers are ignored.
     */
    private long currentCall;

    private long callCount;
    private long callStartedMicros;
    /** URI of the latest call, for the log. */
    private String callUri = "";
    /** When discovery last returned a usable list; 0 if it has not yet. */
    private long listReceivedMicros;

    /** Receives the watch's results, on the event loop. */
    public interface Listener {
        /**
         * Called with each list that discovery returns.
         *
         * @param answersPoll whether the balancer waits for a response, even for one without changes
         */
        void onList(EndpointList list, boolean answersPoll);

        /** Called with what a list says that can't be used as a whole; a failure of its call follows. */
        void onPartialList(PartialEndpointList list);

        /**
         * Called when a call has failed.
         *
         * @param retry polls again after a backoff, for a listener that has no balancer to do so
         */
        void onFailure(Runnable retry);
    }

    /**
     * The options of a watch.
     *
     * @param generation         version of the current list
     * @param pollIntervalMicros longest time for which a sidecar without a watch may use its list before it polls
     *                           again; 0 or less if unlimited
     * @param selfPolling        whether the watch polls by itself because the balancer never does; discovery is an
     *                           agent on the same machine then
     * @param listUnconfirmed    whether the current list may be outdated, so that the first call asks for no wait
     * @param seed               random seed for the waits and the backoff
     */
    public record Options(
            long generation, long pollIntervalMicros, boolean selfPolling, boolean listUnconfirmed, long seed) {}

    /** Creates a watch that makes no call before {@link #start} or {@link #poll}. */
    public DiscoveryWatch(Timers timers, Clock clock, Listener listener, DiscoveryClient client, Options options) {
        this.timers = timers;
        this.clock = clock;
        this.listener = listener;
        this.client = client;
        selfPolling = options.selfPolling();
        listUnconfirmed = options.listUnconfirmed();
        generation = options.generation();
        backoff = selfPolling
                ? new Backoff(AGENT_RETRY_MICROS, AGENT_RETRY_MICROS, options.seed())
                : new Backoff(INITIAL_RETRY_MICROS, MAX_RETRY_MICROS, options.seed());
        random = new SplittableRandom(options.seed());
        schedule = PollSchedule.of(selfPolling, options.pollIntervalMicros());
    }

    /** Starts a watch that polls by itself; no effect on any other watch. */
    public void start() {
        if (selfPolling) {
            poll();
        }
    }

    /** Handles a poll of the balancer: {@link Listener} is notified of the next response or failure. */
    public void poll() {
        pollPending = !selfPolling;
        startCallIfIdle();
    }

    /**
     * Abandons the open call and asks at the client's new address for the complete list, because the generations of
     * another service need not continue the current ones. The abandoned call does not count as failed, and its poll is
     * still answered.
     */
    public void onAddressChanged() {
        completeListNeeded = true;
        addressChanged = true;
        consecutiveRestarts = 0;
        abandonCall();
        startCall();
    }

    /** Ends the watch; no call follows. */
    public void stop() {
        abandonCall();
        currentCall = STOPPED;
    }

    /** Ends the open call, if any, without notifying the listener. */
    private void abandonCall() {
        if (currentCall != IDLE) {
            endCall();
        }
        client.disconnect();
    }

    private void endCall() {
        currentCall = IDLE;
        responseTimer.cancel();
    }

    private void startCallIfIdle() {
        if (currentCall == IDLE) {
            startCall();
        }
    }

    private void startCall() {
        long number = ++callCount;
        currentCall = number;
        callStartedMicros = clock.nowMicros();
        long waitMillis = listUnconfirmed || consecutiveRestarts > 0 ? 0 : schedule.waitMillis(random);
        responseTimer = timers.schedule(responseTimeoutMillis(waitMillis) * 1_000, () -> onTimeout(number));
        callUri = completeListNeeded ? PATH : PATH + "?index=" + generation + "&wait=" + waitMillis;
        client.get(callUri, new DiscoveryClient.ResponseListener() {
            @Override
            public void onResponse(int status, byte[] body, boolean keepAlive) {
                if (currentCall == number) {
                    DiscoveryWatch.this.onResponse(status, body, keepAlive);
                }
            }

            @Override
            public void onFailure(String reason) {
                onCallFailure(number, reason);
            }
        });
    }

    private long responseTimeoutMillis(long waitMillis) {
        if (completeListNeeded || listUnconfirmed) {
            return addressChanged && consecutiveRestarts == 0
                    ? schedule.addressChangeTimeoutMillis()
                    : schedule.completeListTimeoutMillis();
        }
        return consecutiveRestarts > 0 ? schedule.restartTimeoutMillis() : waitMillis + schedule.responseSlackMillis();
    }

    /**
     * Handles a call without a response. The first one is taken for a lost connection and restarted; a second one in a
     * row is a failure of the service, though not of an agent.
     */
    private void onTimeout(long number) {
        if (currentCall != number) {
            return;
        }
        if (schedule.alwaysRestarts() || consecutiveRestarts == 0) {
            restart("no response");
        } else {
            onCallFailure(number, "no response");
        }
    }

    private void restart(String reason) {
        if (consecutiveRestarts++ == 0) {
            Log.event("discovery.watch.restarted", "discovery watch restarted: " + reason, "why", reason);
        }
        abandonCall();
        startCall();
    }

    private void onCallFailure(long number, String reason) {
        if (currentCall != number || number == IDLE) {
            return;
        }
        if (addressChanged && consecutiveRestarts == 0) {
            // The whole fleet may have called at once. After a backoff the changes would already count as notified.
            restart(reason);
            return;
        }
        endCall();
        // A late response on this connection must not be taken for that of the next call.
        client.disconnect();
        pollPending = false;
        // The next call asks for no wait, so that its timeout is short if it hangs while discovery recovers.
        listUnconfirmed |= !selfPolling;
        if (!selfPolling || !failureLogged) {
            failureLogged = true;
            logFailure(number, reason);
        }
        retryAfterFailure();
    }

    private void retryAfterFailure() {
        if (selfPolling) {
            scheduleRetry();
        } else {
            listener.onFailure(this::scheduleRetry);
        }
    }

    private void logFailure(long number, String reason) {
        long nowMicros = clock.nowMicros();
        long callMillis = (nowMicros - callStartedMicros) / 1000;
        String listAge = listReceivedMicros == 0
                ? "not from discovery"
                : "received " + (nowMicros - listReceivedMicros) / 1000 + " ms ago";
        Log.event(
                "discovery.call.failed",
                "discovery call failed: " + reason + "; call " + number + " for " + callUri + " took " + callMillis
                        + " ms; the list in use has version " + generation + ", " + listAge,
                "why",
                reason,
                "call",
                number,
                "uri",
                callUri,
                "durationMs",
                callMillis,
                "version",
                generation);
    }

    private void scheduleRetry() {
        timers.schedule(backoff.nextDelayMicros(), this::poll);
    }

    private void onResponse(int status, byte[] body, boolean keepAlive) {
        if (status != HTTP_OK) {
            completeListNeeded |= isRejection(status);
            onCallFailure(currentCall, status == 0 ? "the response is not HTTP" : "status " + status);
            return;
        }
        DiscoveryListReader.Reading reading;
        try {
            reading = DiscoveryListReader.read(body, clock.nowMicros());
        } catch (RuntimeException exception) {
            // No exception that a malformed response causes may end the watch.
            onUnusableList(exception.getMessage());
            return;
        }
        EndpointList list = reading.list();
        boolean follows = !completeListNeeded && list.generation() >= generation;
        if (!list.complete() && !follows) {
            onPartialList(reading.withdrawals(), describeMisplaced(list));
            return;
        }
        if (reading.error().isPresent()) {
            onPartialList(reading.partial(), reading.error().get());
            return;
        }
        endCall();
        if (!keepAlive) {
            client.disconnect();
        }
        try {
            accept(list);
        } catch (RuntimeException exception) {
            // A watch that ended here would leave the former list in use without a limit of time.
            Log.fault("applying an endpoint list failed", exception);
            completeListNeeded = true;
            retryAfterFailure();
            return;
        }
        long pauseMillis = MIN_CALL_INTERVAL_MILLIS - (clock.nowMicros() - callStartedMicros) / 1000;
        if (pauseMillis <= 0) {
            startCallIfIdle();
        } else {
            timers.schedule(pauseMillis * 1_000, this::startCallIfIdle);
        }
    }

    /** Whether the call was rejected for what it asks, such as changes from a version that discovery does not know. */
    private static boolean isRejection(int status) {
        return status >= HTTP_BAD_REQUEST
                && status < HTTP_INTERNAL_ERROR
                && status != HTTP_CLIENT_TIMEOUT
                && status != HTTP_TOO_MANY_REQUESTS;
    }

    private String describeMisplaced(EndpointList list) {
        return "expected a complete list, or requested changes from version " + generation
                + " on; received changes of version " + list.generation() + " with "
                + list.endpoints().size() + " endpoints";
    }

    /** Passes on what a list says that can't be used as a whole, and requests the complete list after a backoff. */
    private void onPartialList(PartialEndpointList partial, String reason) {
        if (!partial.isEmpty()) {
            listener.onPartialList(partial);
        }
        onUnusableList(reason);
    }

    private void onUnusableList(String reason) {
        completeListNeeded = true;
        onCallFailure(currentCall, "the response is not a usable endpoint list: " + reason);
    }

    private void accept(EndpointList list) {
        completeListNeeded = false;
        listUnconfirmed = false;
        addressChanged = false;
        failureLogged = false;
        consecutiveRestarts = 0;
        generation = list.generation();
        listReceivedMicros = clock.nowMicros();
        backoff.reset();
        boolean answersPoll = pollPending;
        pollPending = false;
        listener.onList(list, answersPoll);
    }
}
