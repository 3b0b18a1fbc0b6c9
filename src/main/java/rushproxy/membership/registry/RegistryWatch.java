package rushproxy.membership.registry;

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
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import rushproxy.core.Clock;
import rushproxy.core.Log;
import rushproxy.http1.Dialling;
import rushproxy.json.Json;
import rushproxy.membership.Listing;
import rushproxy.membership.Origin;
import rushproxy.core.Pauses;

/**
 * The watch on discovery: one call after the other without a gap, as soon as the module has asked for it. A call
 * that fails in any way is told to the module, which decides when to ask again; the list it has still holds.
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
    /** A list of some thousand upstreams; more is no list. */
    private static final int MAX_ANSWER = 1 << 20;
    private static final int CONNECT_MS = 1_000;
    /** RegistryWatch keeps a call for the whole list in its queue for seconds. */
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

    private final EventLoop loop;
    private final Clock clock;
    private final Listener listener;
    private final Pauses pauses;
    private final long waitMs;
    private boolean unconfirmed;
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

    /**
     * @param pushed      nobody asks, so the watch goes on by itself from its start
     * @param unconfirmed the list that it goes on from is in doubt: the first call waits for no change, so that discovery's
     *                    word, be it that nothing changed, is heard at once
     */
    public RegistryWatch(EventLoop loop, Clock clock, Listener listener, InetSocketAddress address, long generation,
                         long askEveryUs, boolean pushed, boolean unconfirmed, long seed) {
        this.pushed = pushed;
        this.unconfirmed = unconfirmed;
        this.loop = loop;
        this.clock = clock;
        this.listener = listener;
        pauses = new Pauses(AGAIN_US, AGAIN_MOST_US, seed);
        this.address = address;
        this.generation = generation;
        waitMs = askEveryUs <= 0 ? MOST_WAIT_MS : Math.min(MOST_WAIT_MS, askEveryUs / 1000);
        bootstrap = Dialling.http(loop, CONNECT_MS, MAX_ANSWER, Handler::new);
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
     * Asks elsewhere from now on, at once and for the whole list: versions of another service need not follow on
     * these. The call that was out is over and has not failed; nobody waits longer for having asked the old one.
     */
    public void moveTo(InetSocketAddress to) {
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
    public void stop() {
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
        String uri = doubt ? PATH : PATH + "?index=" + generation + "&wait=" + (unconfirmed ? 0 : waitMs);
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
            listener.failed(this::again);
        }
    }

    private void again() {
        loop.schedule(this::subscribe, pauses.afterFailure(), TimeUnit.MICROSECONDS);
    }

    private void end() {
        call = 0;
        timeout.cancel(false);
    }

    private void answered(FullHttpResponse response) {
        Listing list;
        try {
            if (response.status().code() != 200 || !response.decoderResult().isSuccess()) {
                failed(call, "status " + response.status().code());
                return;
            }
            list = RegistryList.read(Json.parse(ByteBufUtil.getBytes(response.content())), Origin.LIVE, clock.now());
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
        if (!HttpUtil.isKeepAlive(response)) {
            hangUp();
        }
        pauses.succeeded();
        boolean answersAsk = asked;
        asked = false;
        listener.listed(list, answersAsk);
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
