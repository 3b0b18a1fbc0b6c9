package loadbalancer.testbed;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.core.Clock;

/**
 * The application beside one sidecar: sends a mix of classes at a steady rate that does not wait for answers, keeps
 * connections and opens more when all are busy, waits no longer than its time, and tries a refused or a lost request once
 * more where that is harmless. Bounded in number and time; all on the stage's loop.
 */
public abstract class LoadClients {
    /** A class of requests; the settings that the stage gives a sidecar name them. */
    enum Kind {
        LOOKUP("slot-lookup", "Lookup", Idempotency.IDEMPOTENT, 0.6),
        NOTE("note-change", "Note", Idempotency.NOT_IDEMPOTENT, 0.2),
        CONFIRM("booking-confirm", "Confirm", Idempotency.WITH_KEY, 0.2);

        final String lane;
        /** Its name as a gRPC method. */
        final String method;

        final Idempotency semantics;
        /** Part of all requests. */
        final double share;

        Kind(String lane, String method, Idempotency semantics, double share) {
            this.share = share;
            this.lane = lane;
            this.method = method;
            this.semantics = semantics;
        }
    }

    /** Of a world without patience. */
    static final long AIM_MS = 200, GIVE_UP_MS = 600;

    private static final int MOST_LATENCIES = 1 << 20;
    private static final long AGAIN_MS = 50;

    /**
     * Time in ms that a client of a world without patience still listens after its deadline; more than the referee's slack, so that a late
     * answer is judged by how late it is.
     */
    private static final long LISTEN_LATE_MS = 100;

    /** How the requests of one span of time ended. Those unreachable found no sidecar that took their connection. */
    public record Tally(int sent, int inTime, int late, int refused, int failed, int unreachable) {
        public Tally plus(Tally o) {
            return new Tally(
                    sent + o.sent,
                    inTime + o.inTime,
                    late + o.late,
                    refused + o.refused,
                    failed + o.failed,
                    unreachable + o.unreachable);
        }

        /** Share of what was sent that was served within its aim; 1 where nothing was sent. */
        public double inTimeShare() {
            return sent == 0 ? 1 : (double) inTime / sent;
        }
    }

    final EventLoop loop;
    final Clock clock;
    private final int patience;
    private final Referee referee;
    private final String sidecar;
    private final SplittableRandom random;
    private final List<Long> latenciesUs = new ArrayList<>();
    private InetSocketAddress to;
    private Future<?> ticking;
    private long startUs;
    private double perSecond;
    private int begun;
    /** Asked for and not ended yet, all tries of one as one. */
    private volatile int out;

    private int numbers;
    private long firstServedUs;
    private volatile boolean mayLose;
    private final List<Tried> tried = new ArrayList<>();
    private boolean tracing;
    private boolean insistent;
    private int leaving;
    private long leaveMs;
    /** By the second in which their request was first sent. */
    private final TreeMap<Integer, int[]> seconds = new TreeMap<>();

    /** How one try ended for its client: as the referee has it, or LEFT or LOST. */
    public record Tried(String id, String intent, String lane, boolean again, String ending, long tookUs) {}

    private static final int MOST_TRIED = 1 << 18;

    final class Asked {
        final Kind kind;
        final String intent;
        final long firstUs;
        final boolean again;
        String id;
        /** The traceparent that its application gives it; null where that knows of no traces. */
        String parent;

        long untilUs;
        boolean over;
        /** A close has crossed it once. */
        boolean crossed;
        /** Its user has gone: what still comes was on its way. */
        boolean left;
        /** It has its time anew. */
        boolean longer;

        Future<?> timeout;
        Channel on;
        long sentUs;

        Asked(Kind kind, String intent, long firstUs, boolean again) {
            this.kind = kind;
            this.intent = intent;
            this.firstUs = firstUs;
            this.again = again;
        }
    }

    LoadClients(EventLoop loop, Clock clock, Referee referee, String sidecar, long seed, int patience) {
        this.patience = patience;
        this.loop = loop;
        this.clock = clock;
        this.referee = referee;
        this.sidecar = sidecar;
        random = new SplittableRandom(seed);
    }

    /** Sends {@code rate} requests a second to the address from now on, until {@link #stop}. */
    public void start(InetSocketAddress address, double rate) {
        loop.execute(() -> {
            to = address;
            perSecond = rate;
            startUs = clock.nowMicros();
            begun = 0;
            ticking = loop.scheduleAtFixedRate(this::tick, 0, 5, TimeUnit.MILLISECONDS);
        });
    }

    /** After {@link #stop}: at the same rate, at another address, where another process of its sidecar serves. */
    public void goOn(InetSocketAddress address) {
        loop.execute(() -> {
            to = address;
            begun = (int) ((clock.nowMicros() - startUs) * perSecond / 1e6);
            if (ticking == null) {
                ticking = loop.scheduleAtFixedRate(this::tick, 0, 5, TimeUnit.MILLISECONDS);
            }
        });
    }

    /** Sends nothing more; what is out is waited for. */
    public void stop() {
        loop.execute(() -> {
            if (ticking != null) {
                ticking.cancel(false);
                ticking = null;
            }
        });
    }

    /** From now on its sidecar may be killed outright: what that loses is the client's to retry, and breaks no rule. */
    public void sidecarMayDie() {
        mayLose = true;
    }

    /** From now on every second of them sends a traceparent, the same trace for a retry, and tries are written down. */
    public LoadClients traced() {
        tracing = true;
        return this;
    }

    /** From now on each n-th try is left by its client after so long, however it stands. */
    public LoadClients leaving(int nth, long ms) {
        leaving = nth;
        leaveMs = ms;
        return this;
    }

    /** From now on a confirmation that failed, or was not answered, is asked for once more with its key. */
    public LoadClients insistent() {
        insistent = true;
        return this;
    }

    /** Each try that has ended, once {@link #traced}. */
    public List<Tried> tried() {
        return loop.submit(() -> List.copyOf(tried)).syncUninterruptibly().getNow();
    }

    void close() {
        stop();
        loop.execute(this::hangUp);
    }

    private void tick() {
        long now = clock.nowMicros();
        // Behind by more than a tenth of a second the stage itself is late: what it missed is not made up in a burst.
        int due = (int) ((now - startUs) * perSecond / 1e6);
        begun = Math.max(begun, due - (int) Math.max(2, perSecond / 10));
        while (begun < due) {
            begun++;
            double draw = random.nextDouble();
            Kind kind = draw < Kind.LOOKUP.share
                    ? Kind.LOOKUP
                    : draw < Kind.LOOKUP.share + Kind.NOTE.share ? Kind.NOTE : Kind.CONFIRM;
            tally(now)[0]++;
            out++;
            Asked a = new Asked(kind, sidecar + "-i" + begun + "-" + startUs % 1_000_000, now, false);
            a.parent = tracing && begun % 2 == 0 ? "00-" + digits() + digits() + "-" + digits() + "-02" : null;
            ask(a);
        }
    }

    private String digits() {
        return Long.toHexString(random.nextLong() | 1L << 63);
    }

    /** Sent, in time, late, refused, failed, unreachable. */
    private int[] tally(long firstUs) {
        return seconds.computeIfAbsent((int) ((firstUs - startUs) / 1_000_000), s -> new int[6]);
    }

    private void ask(Asked a) {
        a.id = sidecar + "-" + idMark() + ++numbers + "-" + Long.toHexString(startUs % 0xfffff);
        a.untilUs = (a.longer ? clock.nowMicros() : a.firstUs) + GIVE_UP_MS * patience * 1000;
        send(a, to);
    }

    /** Which of the two protocols they speak. */
    public abstract boolean grpc();

    /** Sets the ids of two protocols beside one sidecar apart. */
    abstract String idMark();

    /** Sends it on some connection, after {@link #sent}; or ends it as unreachable. */
    abstract void send(Asked a, InetSocketAddress to);

    /** Nobody waits for it any longer. */
    abstract void giveUp(Asked a);

    abstract void hangUp();

    /** Its last byte is about to be written. */
    void sent(Asked a, long now) {
        referee.sent(now, a.id, a.intent, a.kind.semantics, a.untilUs);
        a.sentUs = now;
        long listenLateUs = LISTEN_LATE_MS * patience * 1000;
        a.timeout = loop.schedule(() -> timedOut(a), a.untilUs - now + listenLateUs, TimeUnit.MICROSECONDS);
        if (leaving > 0 && numbers % leaving == 0) {
            loop.schedule(() -> leave(a), leaveMs, TimeUnit.MILLISECONDS);
        }
    }

    InetSocketAddress address() {
        return to;
    }

    /** The sidecar has not read it: it owes nothing for it yet. */
    void unsent(Asked a) {
        referee.released(a.id);
        a.timeout.cancel(false);
    }

    /** Its user has closed the page. */
    private void leave(Asked a) {
        if (!a.over) {
            a.left = true;
            referee.left(a.id);
            write(a, "LEFT");
            giveUp(a);
            end(a, 4);
        }
    }

    private void write(Asked a, String ending) {
        if (tracing && tried.size() < MOST_TRIED) {
            tried.add(new Tried(a.id, a.intent, a.kind.lane, a.again, ending, clock.nowMicros() - a.sentUs));
        }
    }

    /** A little after its time: an answer that comes just then is late, not lost. */
    private void timedOut(Asked a) {
        if (!a.over) {
            write(a, "LEFT");
            giveUp(a);
            end(a, 4);
        }
    }

    /** Once more where that is harmless and time is left; else it has ended so. */
    void again(Asked a, int as) {
        if (a.again || !(insistent && a.kind == Kind.CONFIRM) && clock.nowMicros() + AGAIN_MS * 1000 >= a.untilUs) {
            end(a, as);
        } else {
            a.over = true;
            if (a.timeout != null) {
                a.timeout.cancel(false);
            }
            Asked next = new Asked(a.kind, a.intent, a.firstUs, true);
            next.parent = a.parent;
            next.longer = insistent && a.kind == Kind.CONFIRM;
            loop.schedule(() -> ask(next), AGAIN_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Longest time in ms from a request to the moment in which its client stops listening for the answer. */
    static long longestWaitMs(int patience) {
        return (GIVE_UP_MS + LISTEN_LATE_MS) * patience;
    }

    void end(Asked a, int as) {
        if (!a.over) {
            a.over = true;
            if (a.timeout != null) {
                a.timeout.cancel(false);
            }
            tally(a.firstUs)[as]++;
            out--;
        }
    }

    /** How many requests have not ended; no more come after {@link #stop}. */
    int out() {
        return out;
    }

    /** What became of the requests first sent in [from, to) seconds after the start. */
    public Tally tally(int from, int to) {
        return loop.submit(() -> {
                    Tally sum = new Tally(0, 0, 0, 0, 0, 0);
                    for (int[] t : seconds.subMap(from, to).values()) {
                        sum = sum.plus(new Tally(t[0], t[1], t[2], t[3], t[4], t[5]));
                    }
                    return sum;
                })
                .syncUninterruptibly()
                .getNow();
    }

    /** Module time of the first request served; 0 where none was. */
    public long firstServedUs() {
        return loop.submit(() -> firstServedUs).syncUninterruptibly().getNow();
    }

    /** The final answer to it has come. */
    void answered(Asked a, Referee.Ending ending, String body) {
        long now = clock.nowMicros();
        if (a.left) {
            return;
        }
        if (!a.over) {
            write(a, ending.name());
        }
        referee.answered(now, a.id, ending, body.contains("\"txn\":\"" + a.id + "\""));
        switch (ending) {
            case SERVED -> {
                firstServedUs = firstServedUs == 0 ? now : firstServedUs;
                if (latenciesUs.size() < MOST_LATENCIES) {
                    latenciesUs.add(now - a.sentUs);
                }
                end(a, now - a.firstUs <= AIM_MS * patience * 1000 ? 1 : 2);
            }
            case REFUSED -> again(a, 3);
            case FAILED -> {
                if (a.kind == Kind.LOOKUP || insistent && a.kind == Kind.CONFIRM) {
                    again(a, 4);
                } else {
                    end(a, 4);
                }
            }
        }
    }

    /** An answer came where nothing was asked. */
    void unasked(String where) {
        referee.answered(clock.nowMicros(), "nothing on " + where, Referee.Ending.FAILED, false);
    }

    /** Its connection ended. A sidecar that was killed owes nothing; one that was not has lost it, says the referee. */
    void lost(Asked a) {
        if (!a.over && clock.nowMicros() < a.untilUs) {
            write(a, "LOST");
            if (mayLose) {
                referee.released(a.id);
            }
            if (a.kind == Kind.LOOKUP) {
                again(a, 5);
            } else {
                end(a, 5);
            }
        }
    }

    /** Time from a request's last byte to its answer, in microseconds, of those that were served; in no order. */
    public List<Long> latenciesUs() {
        return loop.submit(() -> List.copyOf(latenciesUs)).syncUninterruptibly().getNow();
    }
}
