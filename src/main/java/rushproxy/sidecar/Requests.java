package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import rushproxy.Balancer.LoadReport;
import rushproxy.Balancer.Outcome;

/** The requests held: each is told to the module, carried through its attempts and answered exactly once. */
final class Requests {
    /** The module answers at the deadline, when attempts time out; what it has not by then is answered here. */
    private static final long OVERDUE_US = 2_000;

    private final EventLoop loop;
    private final Clock clock;
    private final Decisions decisions;
    private final Upstreams upstreams;
    private final int maxAttempts;
    private final Map<String, Exchange> open = new HashMap<>();

    Requests(EventLoop loop, Clock clock, Decisions decisions, Upstreams upstreams, int maxAttempts) {
        this.loop = loop;
        this.clock = clock;
        this.decisions = decisions;
        this.upstreams = upstreams;
        this.maxAttempts = maxAttempts;
    }

    boolean knows(String id) {
        return open.containsKey(id);
    }

    void take(Exchange x) {
        open.put(x.request.id(), x);
        x.overdue = loop.schedule(() -> overdue(x), x.deadlineUs + OVERDUE_US - clock.now(), TimeUnit.MICROSECONDS);
        decisions.call(m -> m.onRequest(clock.now(), x.request), () -> fail(x));
    }

    /** The client has left: nothing is owed any more, and what is out ends by itself. */
    void left(Exchange x) {
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
    void failHeld() {
        for (Exchange x : List.copyOf(open.values())) {
            if (x.noneOut()) {
                overdue(x);
            }
        }
    }

    void send(String id, String upstream, long untilUs) {
        Exchange x = open.get(id);
        if (x == null) {
            return;
        }
        int number = x.attempts.size();
        long until = untilUs <= 0 ? x.deadlineUs : Math.min(untilUs, x.deadlineUs);
        boolean moot = x.over || number >= maxAttempts || until <= clock.now();
        Upstreams.Call call = new Upstreams.Call(upstream, until, false, left -> message(x, left),
                (c, outcome, report, body) -> ended(x, number, c, outcome, report, body));
        x.attempts.add(call);
        if (moot) {
            call.end(Outcome.NOT_SENT, null, null);
        } else {
            upstreams.start(call);
        }
    }

    private static FullHttpRequest message(Exchange x, long leftUs) {
        FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, x.method, x.uri,
                Unpooled.wrappedBuffer(x.body));
        message.headers().set(Headers.TXN, x.request.id()).set(Headers.REMAINING, Math.max(1, leftUs / 1000));
        if (x.idempotencyKey != null) {
            message.headers().set(Headers.IDEMPOTENCY_KEY, x.idempotencyKey);
        }
        return message;
    }

    private void ended(Exchange x, int number, Upstreams.Call call, Outcome outcome, LoadReport report, ByteBuf body) {
        if (outcome == Outcome.OK && !x.over) {
            finish(x);
            x.answer.served(body.retain());
        }
        forgetIfSettled(x);
        long now = clock.now();
        decisions.call(m -> m.onOutcome(now, x.request.id(), number, call.upstream, outcome, now - call.sentUs, x.over,
                report), () -> failUnlessOut(x));
    }

    private void failUnlessOut(Exchange x) {
        if (x.noneOut()) {
            fail(x);
        }
    }

    void refuse(String id, long retryAfterUs) {
        Exchange x = open.get(id);
        if (x != null && !x.over) {
            finish(x);
            x.answer.refused(retryAfterUs);
        }
    }

    void fail(String id) {
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

    void cancel(String id, int attempt) {
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
