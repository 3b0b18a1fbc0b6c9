package rushproxy.standin;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import rushproxy.Balancer.Semantics;
import rushproxy.core.Clock;
import rushproxy.http1.Dialling;

/**
 * The application beside one sidecar: sends a mix of classes at a steady rate that does not wait for answers, keeps
 * connections and opens more when all are busy, waits no longer than its time, and tries a refused or a lost request once
 * more where that is harmless. Bounded in number and time; all on the stage's loop.
 */
public final class Clients {
    /** A class of requests; the settings that the stage gives a sidecar name them. */
    enum Kind {
        LOOKUP("slot-lookup", Semantics.SAFE), NOTE("note-change", Semantics.UNSAFE), CONFIRM("booking-confirm", Semantics.KEYED);

        final String lane;
        final Semantics semantics;

        Kind(String lane, Semantics semantics) {
            this.lane = lane;
            this.semantics = semantics;
        }
    }

    static final long AIM_MS = 200, GIVE_UP_MS = 600;
    private static final int MOST_CONNECTIONS = 128;
    private static final long AGAIN_MS = 50;
    private static final int MAX_BODY = 1 << 20;

    /** How the requests of one span of time ended. Those unreachable found no sidecar that took their connection. */
    public record Tally(int sent, int inTime, int late, int refused, int failed, int unreachable) {
        public Tally plus(Tally o) {
            return new Tally(sent + o.sent, inTime + o.inTime, late + o.late, refused + o.refused, failed + o.failed,
                    unreachable + o.unreachable);
        }

        /** Share of what was sent that was served within its aim; 1 where nothing was sent. */
        public double inTimeShare() {
            return sent == 0 ? 1 : (double) inTime / sent;
        }
    }

    private final EventLoop loop;
    private final Clock clock;
    private final Referee referee;
    private final String sidecar;
    private final SplittableRandom random;
    private final Bootstrap bootstrap;
    private final ArrayDeque<Channel> idle = new ArrayDeque<>();
    private final Set<Channel> connections = new HashSet<>();
    private InetSocketAddress to;
    private Future<?> ticking;
    private long startUs;
    private double perSecond;
    private int begun;
    private int numbers;
    private long firstServedUs;
    private volatile boolean mayLose;
    /** By the second in which their request was first sent. */
    private final TreeMap<Integer, int[]> seconds = new TreeMap<>();

    private final class Asked {
        final Kind kind;
        final String intent;
        final long firstUs;
        final boolean again;
        String id;
        long untilUs;
        boolean over;
        Future<?> timeout;
        Channel on;

        Asked(Kind kind, String intent, long firstUs, boolean again) {
            this.kind = kind;
            this.intent = intent;
            this.firstUs = firstUs;
            this.again = again;
        }
    }

    Clients(EventLoop loop, Clock clock, Referee referee, String sidecar, long seed) {
        this.loop = loop;
        this.clock = clock;
        this.referee = referee;
        this.sidecar = sidecar;
        random = new SplittableRandom(seed);
        bootstrap = Dialling.http(loop, 500, MAX_BODY, Handler::new);
    }

    /** Sends {@code rate} requests a second to the address from now on, until {@link #stop}. */
    public void start(InetSocketAddress address, double rate) {
        loop.execute(() -> {
            to = address;
            perSecond = rate;
            startUs = clock.now();
            begun = 0;
            ticking = loop.scheduleAtFixedRate(this::tick, 0, 5, TimeUnit.MILLISECONDS);
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

    void close() {
        stop();
        loop.execute(() -> Set.copyOf(connections).forEach(Channel::close));
    }

    private void tick() {
        long now = clock.now();
        // Behind by more than a tenth of a second the stage itself is late: what it missed is not made up in a burst.
        int due = (int) ((now - startUs) * perSecond / 1e6);
        begun = Math.max(begun, due - (int) Math.max(2, perSecond / 10));
        while (begun < due) {
            begun++;
            double draw = random.nextDouble();
            Kind kind = draw < 0.6 ? Kind.LOOKUP : draw < 0.8 ? Kind.NOTE : Kind.CONFIRM;
            tally(now)[0]++;
            ask(new Asked(kind, sidecar + "-i" + begun + "-" + startUs % 1_000_000, now, false));
        }
    }

    /** Sent, in time, late, refused, failed, unreachable. */
    private int[] tally(long firstUs) {
        return seconds.computeIfAbsent((int) ((firstUs - startUs) / 1_000_000), s -> new int[6]);
    }

    private void ask(Asked a) {
        a.id = sidecar + "-" + ++numbers + "-" + Long.toHexString(startUs % 0xfffff);
        a.untilUs = a.firstUs + GIVE_UP_MS * 1000;
        Channel channel = null;
        while (channel == null && !idle.isEmpty()) {
            channel = idle.poll();
            channel = channel.isActive() ? channel : null;
        }
        if (channel != null) {
            write(channel, a);
        } else if (connections.size() >= MOST_CONNECTIONS) {
            end(a, 5);
        } else {
            var connecting = bootstrap.connect(to);
            connections.add(connecting.channel());
            connecting.channel().closeFuture().addListener(f -> {
                connections.remove(connecting.channel());
                idle.remove(connecting.channel());
            });
            connecting.addListener(f -> {
                if (f.isSuccess()) {
                    write(connecting.channel(), a);
                } else {
                    connections.remove(connecting.channel());
                    again(a, 5);
                }
            });
        }
    }

    private void write(Channel channel, Asked a) {
        long now = clock.now();
        if (now >= a.untilUs) {
            idle.push(channel);
            end(a, 5);
            return;
        }
        FullHttpRequest m = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
                a.kind == Kind.LOOKUP ? HttpMethod.GET : HttpMethod.POST, "/api/" + a.kind.lane);
        m.headers().set(HttpHeaderNames.HOST, "api.internal").set("X-Txn", a.id).set("X-Lane", a.kind.lane)
                .set("X-Remaining-Ms", Math.max(1, (a.untilUs - now) / 1000)).set(HttpHeaderNames.CONTENT_LENGTH, 0);
        if (a.kind == Kind.CONFIRM) {
            m.headers().set("Idempotency-Key", a.intent);
        }
        if (a.again) {
            m.headers().set("X-Resent", "1");
        }
        a.on = channel;
        channel.pipeline().get(Handler.class).asked = a;
        referee.sent(now, a.id, a.intent, a.kind.semantics, a.untilUs);
        a.timeout = loop.schedule(() -> timedOut(a), a.untilUs - now + 100_000, TimeUnit.MICROSECONDS);
        channel.writeAndFlush(m);
    }

    /** A little after its time: an answer that comes just then is late, not lost. */
    private void timedOut(Asked a) {
        if (!a.over) {
            a.on.close();
            end(a, 4);
        }
    }

    /** Once more where that is harmless and time is left; else it has ended so. */
    private void again(Asked a, int as) {
        if (a.again || clock.now() + AGAIN_MS * 1000 >= a.untilUs) {
            end(a, as);
        } else {
            a.over = true;
            if (a.timeout != null) {
                a.timeout.cancel(false);
            }
            Asked next = new Asked(a.kind, a.intent, a.firstUs, true);
            loop.schedule(() -> ask(next), AGAIN_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void end(Asked a, int as) {
        if (!a.over) {
            a.over = true;
            if (a.timeout != null) {
                a.timeout.cancel(false);
            }
            tally(a.firstUs)[as]++;
        }
    }

    /** What became of the requests first sent in [from, to) seconds after the start. */
    public Tally tally(int from, int to) {
        return loop.submit(() -> {
            Tally sum = new Tally(0, 0, 0, 0, 0, 0);
            for (int[] t : seconds.subMap(from, to).values()) {
                sum = sum.plus(new Tally(t[0], t[1], t[2], t[3], t[4], t[5]));
            }
            return sum;
        }).syncUninterruptibly().getNow();
    }

    /** Module time of the first request served; 0 where none was. */
    public long firstServedUs() {
        return loop.submit(() -> firstServedUs).syncUninterruptibly().getNow();
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Asked asked;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            Asked a = asked;
            asked = null;
            if (a == null) {
                referee.answered(clock.now(), "nothing on " + ctx.channel().localAddress(), Referee.Ending.FAILED, false);
                ctx.close();
                return;
            }
            long now = clock.now();
            int code = answer.status().code();
            Referee.Ending ending = code == 200 ? Referee.Ending.SERVED
                    : code == 429 || code == 503 ? Referee.Ending.REFUSED : Referee.Ending.FAILED;
            String body = answer.content().toString(StandardCharsets.UTF_8);
            referee.answered(now, a.id, ending, body.contains("\"txn\":\"" + a.id + "\""));
            switch (ending) {
                case SERVED -> {
                    firstServedUs = firstServedUs == 0 ? now : firstServedUs;
                    end(a, now - a.firstUs <= AIM_MS * 1000 ? 1 : 2);
                }
                case REFUSED -> again(a, 3);
                case FAILED -> {
                    if (a.kind == Kind.LOOKUP) {
                        again(a, 4);
                    } else {
                        end(a, 4);
                    }
                }
            }
            if (HttpUtil.isKeepAlive(answer)) {
                idle.push(ctx.channel());
            } else {
                ctx.close();
            }
        }

        /** A sidecar that was killed owes nothing, nor one that closed a connection before it read the request. */
        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            Asked a = asked;
            asked = null;
            if (a != null && !a.over && clock.now() < a.untilUs) {
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

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
