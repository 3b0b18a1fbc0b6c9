package rushproxy.core;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import rushproxy.Balancer.LoadReport;
import rushproxy.Balancer.Outcome;

/** The requests held: each is told to the module, carried through its attempts and answered exactly once. */
public final class Requests {
    /** The module answers at the deadline, when attempts time out; what it has not by then is answered here. */
    private static final long OVERDUE_US = 2_000;

    private final EventLoop loop;
    private final Clock clock;
    private final Decisions decisions;
    private final int maxAttempts;
    private final BiConsumer<String, Outcome> ends;
    private final Map<String, Exchange> open = new HashMap<>();

    /** {@code ends} is told how each attempt ended, with its upstream. */
    public Requests(EventLoop loop, Clock clock, Decisions decisions, int maxAttempts, BiConsumer<String, Outcome> ends) {
        this.loop = loop;
        this.clock = clock;
        this.decisions = decisions;
        this.maxAttempts = maxAttempts;
        this.ends = ends;
    }

    public boolean knows(String id) {
        return open.containsKey(id);
    }

    public void take(Exchange x) {
        open.put(x.request.id(), x);
        x.overdue = loop.schedule(() -> overdue(x), x.deadlineUs + OVERDUE_US - clock.now(), TimeUnit.MICROSECONDS);
        decisions.call(m -> m.onRequest(clock.now(), x.request), () -> fail(x));
    }

    /** The client has left: nothing is owed any more, and what is out ends by itself. */
    public void left(Exchange x) {
        if (!x.over) {
            finish(x);
            expired(x);
        }
    }

    private void overdue(Exchange x) {
        if (!x.over) {
            fail(x);
            expired(x);
        }
    }

    private void expired(Exchange x) {
        decisions.call(m -> m.onExpired(clock.now(), x.request.id()), () -> { });
    }

    /** After a call that broke off: what the module held may be forgotten, so it is answered now. */
    public void failHeld() {
        for (Exchange x : List.copyOf(open.values())) {
            if (x.noneOut()) {
                overdue(x);
            }
        }
    }

    public void send(String id, String upstream, long untilUs) {
        Exchange x = open.get(id);
        if (x == null) {
            return;
        }
        int number = x.attempts.size();
        long until = untilUs <= 0 ? x.deadlineUs : Math.min(untilUs, x.deadlineUs);
        boolean moot = x.over || number >= maxAttempts || until <= clock.now();
        Attempt attempt = x.maker.attempt(upstream, until, new Attempt.Result() {
            @Override
            public void ended(Attempt a, Outcome outcome, LoadReport report, ByteBuf body) {
                Requests.this.ended(x, number, a, outcome, report, body);
            }

            @Override
            public boolean streaming(Attempt a) {
                return Requests.this.streaming(x, number, a);
            }
        });
        x.attempts.add(attempt);
        if (moot) {
            attempt.drop();
        } else {
            attempt.start();
        }
    }

    private void ended(Exchange x, int number, Attempt attempt, Outcome outcome, LoadReport report, ByteBuf body) {
        if (x.streaming == attempt && !x.over) {
            // The client has been told the end with the stream itself.
            finish(x);
        } else if (outcome == Outcome.OK && !x.over) {
            finish(x);
            x.answer.served(body.retain());
        }
        ends.accept(attempt.upstream(), outcome);
        forgetIfSettled(x);
        long now = clock.now();
        decisions.call(m -> m.onOutcome(now, x.request.id(), number, attempt.upstream(), outcome,
                now - attempt.sentUs(), x.over, report), () -> failUnlessOut(x));
    }

    private boolean streaming(Exchange x, int number, Attempt attempt) {
        if (x.over || x.streaming != null) {
            return false;
        }
        x.streaming = attempt;
        x.overdue.cancel(false);
        long now = clock.now();
        decisions.call(m -> m.onStreamStart(now, x.request.id(), number, attempt.upstream(), now - attempt.sentUs()),
                () -> { });
        for (Attempt other : List.copyOf(x.attempts)) {
            if (other != attempt) {
                other.cancel();
            }
        }
        return true;
    }

    private void failUnlessOut(Exchange x) {
        if (x.noneOut()) {
            fail(x);
        }
    }

    public void refuse(String id, long retryAfterUs) {
        Exchange x = open.get(id);
        if (x != null && !x.over) {
            finish(x);
            x.answer.refused(retryAfterUs);
        }
    }

    public void fail(String id) {
        if (open.containsKey(id)) {
            fail(open.get(id));
        }
    }

    private void fail(Exchange x) {
        if (!x.over) {
            finish(x);
            x.answer.failed();
        }
    }

    public void cancel(String id, int attempt) {
        Exchange x = open.get(id);
        if (x != null && attempt >= 0 && attempt < x.attempts.size()) {
            x.attempts.get(attempt).cancel();
        }
    }

    private void finish(Exchange x) {
        x.over = true;
        x.overdue.cancel(false);
        forgetIfSettled(x);
    }

    private void forgetIfSettled(Exchange x) {
        if (x.settled()) {
            open.remove(x.request.id());
        }
    }
}
