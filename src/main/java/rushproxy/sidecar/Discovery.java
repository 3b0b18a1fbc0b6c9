package rushproxy.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import rushproxy.Balancer.ListKind;
import rushproxy.Balancer.Upstream;

/**
 * The watch on discovery: one call after the other without a gap, as soon as the module has asked for it. A call
 * that fails in any way is told to the module, which decides when to ask again; the list it has still holds.
 */
final class Discovery {
    private static final String PATH = "/registry/instances";
    /** A list of some thousand upstreams; more is no list. */
    private static final int MAX_ANSWER = 1 << 20;
    private static final int CONNECT_MS = 1_000;
    /** Discovery keeps a call for the whole list in its queue for seconds. */
    private static final long WHOLE_MS = 4_000;
    /** Changes count as told 2 s after a watch's wait is over: one that is silent then is asked again before. */
    private static final long SILENT_MS = 1_500;
    private static final long MOST_WAIT_MS = 20_000;
    private static final long AGAIN_MS = 1_000;
    /** A watch lasts while its calls follow within 200 ms; discovery that answers at once is not called without pause. */
    private static final long PACE_MS = 100;

    /** Stands for a call that keeps all others from being made. */
    private static final long NEVER = -1;

    private final EventLoop loop;
    private final Clock clock;
    private final Decisions decisions;
    private final Upstreams upstreams;
    private final long waitMs;
    private InetSocketAddress address;
    private final Bootstrap bootstrap;
    private long generation;
    /** After an answer that made no sense the whole list is asked for. */
    private boolean doubt;
    /** The module has asked and waits for an answer, be it one without changes. */
    private boolean asked;
    private Channel channel;
    private Future<?> timeout;
    /** Number of the call that is out; 0 while none is. What belongs to another is stale. */
    private long call;
    private long calls;
    private long begunUs;
    /** Where lists are pushed the module asks for nothing: the watch is this class's own. */
    private final boolean pushed;

    Discovery(EventLoop loop, Clock clock, Decisions decisions, Upstreams upstreams, InetSocketAddress address,
              long generation, long askEveryUs, boolean pushed) {
        this.pushed = pushed;
        this.loop = loop;
        this.clock = clock;
        this.decisions = decisions;
        this.upstreams = upstreams;
        this.address = address;
        this.generation = generation;
        waitMs = askEveryUs <= 0 ? MOST_WAIT_MS : Math.min(MOST_WAIT_MS, askEveryUs / 1000);
        bootstrap = Dialling.http(loop, CONNECT_MS, MAX_ANSWER, Handler::new);
    }

    void start() {
        if (pushed) {
            subscribe();
        }
    }

    void subscribe() {
        asked = !pushed;
        goOn();
    }

    /**
     * Asks elsewhere from now on, at once and for the whole list: versions of another service need not follow on
     * these. The call that was out is over and has not failed; nobody waits longer for having asked the old one.
     */
    void moveTo(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        Log.line("discovery is now at " + to);
        address = to;
        doubt = true;
        leave();
        begin();
    }

    /** Asks no more. */
    void stop() {
        leave();
        call = NEVER;
    }

    /** Ends the call that is out, if any, without a word to the module. */
    private void leave() {
        if (call != 0) {
            end();
        }
        hangUp();
    }

    private void hangUp() {
        Channel old = channel;
        channel = null;
        if (old != null) {
            old.close();
        }
    }

    private void begin() {
        long number = ++calls;
        call = number;
        begunUs = clock.now();
        timeout = loop.schedule(() -> failed(number, "no answer"), doubt ? WHOLE_MS : waitMs + SILENT_MS,
                TimeUnit.MILLISECONDS);
        if (channel != null && channel.isActive()) {
            write(number);
            return;
        }
        ChannelFuture connecting = bootstrap.connect(address);
        channel = connecting.channel();
        connecting.addListener(f -> {
            if (f.isSuccess() && call == number) {
                write(number);
            } else if (!f.isSuccess()) {
                failed(number, "no connection");
            }
        });
    }

    private void write(long number) {
        String uri = doubt ? PATH : PATH + "?index=" + generation + "&wait=" + waitMs;
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
        request.headers().set("Host", "discovery");
        channel.writeAndFlush(request).addListener(f -> {
            if (!f.isSuccess()) {
                failed(number, "the connection broke");
            }
        });
    }

    private void failed(long number, String why) {
        if (call != number || number == 0) {
            return;
        }
        end();
        // What may still come on it answers a call that is over.
        hangUp();
        asked = false;
        Log.line("a call to discovery failed: " + why);
        if (pushed) {
            again();
        } else {
            // The module asks again, ever later; without a working one nobody would.
            decisions.call(m -> m.onList(clock.now(), ListKind.FAILED, List.of()), this::again);
        }
    }

    /** Jittered, so that sidecars that failed together do not ask together again. */
    private void again() {
        loop.schedule(this::subscribe, AGAIN_MS / 2 + ThreadLocalRandom.current().nextLong(AGAIN_MS),
                TimeUnit.MILLISECONDS);
    }

    private void end() {
        call = 0;
        timeout.cancel(false);
    }

    private void answered(FullHttpResponse response) {
        UpstreamList list;
        try {
            if (response.status().code() != 200 || !response.decoderResult().isSuccess()) {
                failed(call, "status " + response.status().code());
                return;
            }
            list = UpstreamList.of(Json.parse(ByteBufUtil.getBytes(response.content())));
            boolean known = doubt ? list.whole() : list.whole() || list.generation() >= generation;
            if (!known || list.whole() && list.entries().isEmpty()) {
                throw new IllegalArgumentException("it does not follow on the list before");
            }
        } catch (RuntimeException e) {
            doubt = true;
            failed(call, "its answer is no list: " + e.getMessage());
            return;
        }
        end();
        doubt = false;
        generation = list.generation();
        if (!HttpUtil.isKeepAlive(response)) {
            hangUp();
        }
        upstreams.update(list);
        if (asked || list.whole() || !list.entries().isEmpty()) {
            asked = false;
            List<Upstream> entries = list.entries().stream().map(UpstreamList.Entry::upstream).toList();
            decisions.call(m -> m.onList(clock.now(), list.whole() ? ListKind.FULL : ListKind.DELTA, entries), () -> { });
        }
        long restMs = PACE_MS - (clock.now() - begunUs) / 1000;
        if (restMs <= 0) {
            goOn();
        } else {
            loop.schedule(this::goOn, restMs, TimeUnit.MILLISECONDS);
        }
    }

    private void goOn() {
        if (call == 0) {
            begin();
        }
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (call != 0 && ctx.channel() == channel) {
                answered(response);
            } else {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                failed(call, "the connection ended");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
