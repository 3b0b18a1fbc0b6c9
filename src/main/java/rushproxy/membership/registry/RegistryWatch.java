package rushproxy.membership.registry;

import rushproxy.core.Clock;
import rushproxy.core.Log;
import rushproxy.core.Pauses;
import rushproxy.core.Timers;
import rushproxy.json.Json;
import rushproxy.membership.Listing;
import rushproxy.membership.Origin;

/**
 * The watch on discovery: one call after the other without a gap, as soon as the module has asked for it. A call
 * that fails in any way is told to the module, which decides when to ask again; the list it has still holds. How calls
 * travel is {@link RegistryCalls}' matter.
 */
public final class RegistryWatch {
    /** Who is told what the watch brings; called on the loop. */
    public interface Listener {
        /** {@code answersAsk}: somebody waits for an answer, be it one without changes. */
        void listed(Listing list, boolean answersAsk);

        /** The call failed. {@code goOn} asks again, for a listener that can't. */
        void failed(Runnable goOn);
    }

    private static final String PATH = "/registry/instances";
    /** Discovery keeps a call for the whole list in its queue for seconds. */
    private static final long WHOLE_MS = 4_000;
    /** Changes count as told 2 s after a watch's wait is over: one that is silent then is asked again before. */
    private static final long SILENT_MS = 1_500;
    private static final long MOST_WAIT_MS = 20_000;
    /** Between calls of a watch that goes on by itself: where discovery is down, a fleet must not rush it. */
    private static final long AGAIN_US = 1_000_000, AGAIN_MOST_US = 8_000_000;
    /** A watch lasts while its calls follow within 200 ms; discovery that answers at once is not called without pause. */
    private static final long PACE_MS = 100;

    /** Stands for a call that keeps all others from being made. */
    private static final long NEVER = -1;

    private final Timers timers;
    private final Clock clock;
    private final Listener listener;
    private final Pauses pauses;
    private final long waitMs;
    private boolean unconfirmed;
    private final RegistryCalls calls;
    private long generation;
    /** After an answer that made no sense the whole list is asked for. */
    private boolean doubt;
    /** The module has asked and waits for an answer, be it one without changes. */
    private boolean asked;
    private Timers.Timer timeout;
    /** Number of the call that is out; 0 while none is. What belongs to another is stale. */
    private long call;
    private long made;
    private long begunUs;
    /** Where lists are pushed the module asks for nothing: the watch is this class's own. */
    private final boolean pushed;

    /**
     * @param pushed      nobody asks, so the watch goes on by itself from its start
     * @param unconfirmed the list that it goes on from is in doubt: the first call waits for no change, so that discovery's
     *                    word, be it that nothing changed, is heard at once
     */
    public RegistryWatch(Timers timers, Clock clock, Listener listener, RegistryCalls calls, long generation,
                         long askEveryUs, boolean pushed, boolean unconfirmed, long seed) {
        this.pushed = pushed;
        this.unconfirmed = unconfirmed;
        this.timers = timers;
        this.clock = clock;
        this.listener = listener;
        pauses = new Pauses(AGAIN_US, AGAIN_MOST_US, seed);
        this.calls = calls;
        this.generation = generation;
        waitMs = askEveryUs <= 0 ? MOST_WAIT_MS : Math.min(MOST_WAIT_MS, askEveryUs / 1000);
    }

    public void start() {
        if (pushed) {
            subscribe();
        }
    }

    public void subscribe() {
        asked = !pushed;
        goOn();
    }

    /**
     * Its calls go elsewhere from now on: it asks at once and for the whole list, since versions of another service need not
     * follow on these. The call that was out is over and has not failed; nobody waits longer for having asked the old one.
     */
    public void moved() {
        doubt = true;
        leave();
        begin();
    }

    /** Asks no more. */
    public void stop() {
        leave();
        call = NEVER;
    }

    /** Ends the call that is out, if any, without a word to the module. */
    private void leave() {
        if (call != 0) {
            end();
        }
        calls.hangUp();
    }

    private void begin() {
        long number = ++made;
        call = number;
        begunUs = clock.now();
        timeout = timers.in((doubt ? WHOLE_MS : waitMs + SILENT_MS) * 1_000, () -> failed(number, "no answer"));
        calls.call(doubt ? PATH : PATH + "?index=" + generation + "&wait=" + (unconfirmed ? 0 : waitMs), new RegistryCalls.Result() {
            @Override
            public void answered(int status, byte[] body, boolean again) {
                if (call == number) {
                    RegistryWatch.this.answered(status, body, again);
                }
            }

            @Override
            public void failed(String why) {
                RegistryWatch.this.failed(number, why);
            }
        });
    }

    private void failed(long number, String why) {
        if (call != number || number == 0) {
            return;
        }
        end();
        // What may still come on it answers a call that is over.
        calls.hangUp();
        asked = false;
        Log.event("discovery.failed", "a call to discovery failed: " + why, "why", why);
        if (pushed) {
            again();
        } else {
            // The module asks again, ever later; without a working one nobody would.
            listener.failed(this::again);
        }
    }

    private void again() {
        timers.in(pauses.afterFailure(), this::subscribe);
    }

    private void end() {
        call = 0;
        timeout.cancel();
    }

    private void answered(int status, byte[] body, boolean again) {
        Listing list;
        try {
            if (status != 200) {
                failed(call, status == 0 ? "its answer can't be read" : "status " + status);
                return;
            }
            list = RegistryList.read(Json.parse(body), Origin.LIVE, clock.now());
            boolean known = doubt ? list.whole() : list.whole() || list.generation() >= generation;
            if (!known || list.whole() && list.members().isEmpty()) {
                throw new IllegalArgumentException("it does not follow on the list before");
            }
        } catch (RuntimeException e) {
            doubt = true;
            failed(call, "its answer is no list: " + e.getMessage());
            return;
        }
        end();
        doubt = false;
        unconfirmed = false;
        generation = list.generation();
        if (!again) {
            calls.hangUp();
        }
        pauses.succeeded();
        boolean answersAsk = asked;
        asked = false;
        listener.listed(list, answersAsk);
        long restMs = PACE_MS - (clock.now() - begunUs) / 1000;
        if (restMs <= 0) {
            goOn();
        } else {
            timers.in(restMs * 1_000, this::goOn);
        }
    }

    private void goOn() {
        if (call == 0) {
            begin();
        }
    }
}
