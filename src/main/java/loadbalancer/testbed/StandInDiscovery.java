package loadbalancer.testbed;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.AttributeKey;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import loadbalancer.core.Clock;
import loadbalancer.json.JsonObject;

/**
 * A stand-in discovery service: the complete list and a watch on its changes. It can be down, late, list nothing, or lose
 * its versions. All on the stage's loop; methods may be called from any thread.
 */
public final class StandInDiscovery implements AutoCloseable {
    /** Changes before this version are not remembered. */
    private static final int BASE = 40;

    private record Line(StandInUpstream node, String lifecycle, long version) {}

    private record Watch(ChannelHandlerContext from, long index) {}

    private static final AttributeKey<String> SIDECAR = AttributeKey.valueOf(StandInDiscovery.class, "sidecar");

    private final EventLoop loop;
    private final Clock clock;
    private final Referee referee;
    private final Map<String, Line> lines = new LinkedHashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private final Set<Channel> connections = new HashSet<>();
    private final List<Channel> listeners = new CopyOnWriteArrayList<>();
    private long version = BASE;
    private volatile boolean down;
    private volatile boolean empty;
    private volatile long lateMs;
    private volatile int calls;
    private volatile BiFunction<String, StandInUpstream, String> seen = (sidecar, node) -> node.address();
    private final Map<Long, Integer> callsInSecond = new LinkedHashMap<>();

    StandInDiscovery(EventLoop loop, Clock clock, Referee referee) {
        this.loop = loop;
        this.clock = clock;
        this.referee = referee;
    }

    /** An address for this sidecar alone: whoever calls there is told in its name. */
    public String addressFor(String sidecar) throws InterruptedException {
        Channel listener = new ServerBootstrap()
                .group(loop)
                .channelFactory(NioServerSocketChannel::new)
                .option(ChannelOption.SO_BACKLOG, 256)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connections.add(channel);
                        channel.attr(SIDECAR).set(sidecar);
                        channel.closeFuture().addListener(f -> {
                            connections.remove(channel);
                            watches.removeIf(w -> w.from.channel() == channel);
                        });
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(4096), new Handler());
                    }
                })
                .bind("127.0.0.1", 0)
                .sync()
                .channel();
        listeners.add(listener);
        return "127.0.0.1:" + ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** The node is listed as {@code Ready}, {@code Terminating} or {@code Gone}, and all that watch are told. */
    public void list(StandInUpstream node, String lifecycle) {
        loop.execute(() -> {
            lines.put(node.id(), new Line(node, lifecycle, ++version));
            answerWatches();
        });
    }

    private void answerWatches() {
        for (Watch watch : List.copyOf(watches)) {
            watches.remove(watch);
            tell(watch.from, watch.index, false);
        }
    }

    /** While it is down its connections are reset and calls end with 503. */
    public void down(boolean now) {
        down = now;
        if (now) {
            loop.execute(() -> {
                watches.clear();
                Set.copyOf(connections).forEach(Channel::close);
            });
        }
    }

    /** Where each sidecar, by its name, is told that a node is: the way there may be its own. */
    public void seen(BiFunction<String, StandInUpstream, String> address) {
        seen = address;
    }

    /** From now on a new version withdraws all nodes by an empty complete list, or lists them again. */
    public void empty(boolean now) {
        loop.execute(() -> {
            empty = now;
            version++;
            lines.replaceAll((id, line) -> new Line(line.node, line.lifecycle, version));
            answerWatches();
        });
    }

    /** Starts its versions again from below those it had, as one restored from an old copy. */
    public void forgetVersions() {
        loop.execute(() -> {
            version = 1;
            lines.replaceAll((id, l) -> new Line(l.node, l.lifecycle, 1));
        });
    }

    /** Each answer comes so much later. */
    public void late(long ms) {
        lateMs = ms;
    }

    /** Calls it has had, those that failed among them. */
    public int calls() {
        return calls;
    }

    /** The most calls in any one second from that one on, in Unix time. */
    public int callsPeakSince(long second) {
        return loop.submit(() -> callsInSecond.entrySet().stream()
                        .filter(e -> e.getKey() >= second)
                        .mapToInt(Map.Entry::getValue)
                        .max()
                        .orElse(0))
                .syncUninterruptibly()
                .getNow();
    }

    private void call(ChannelHandlerContext ctx, String uri) {
        calls++;
        callsInSecond.merge(clock.nowMicros() / 1_000_000, 1, Integer::sum);
        if (down) {
            answer(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0]);
            return;
        }
        QueryStringDecoder query = new QueryStringDecoder(uri);
        if (!query.parameters().containsKey("index")) {
            tell(ctx, 0, true);
            return;
        }
        long index = Long.parseLong(query.parameters().get("index").get(0));
        long waitMs = Long.parseLong(
                query.parameters().getOrDefault("wait", List.of("0")).get(0));
        if (index != version) {
            // What was missed goes back further than is remembered, or it is of another history: all of it.
            tell(ctx, index, index > version || index < BASE);
            return;
        }
        Watch watch = new Watch(ctx, index);
        watches.add(watch);
        loop.schedule(
                () -> {
                    if (watches.remove(watch)) {
                        tell(ctx, index, false);
                    }
                },
                waitMs,
                TimeUnit.MILLISECONDS);
    }

    private void tell(ChannelHandlerContext ctx, long index, boolean whole) {
        if (lateMs > 0) {
            loop.schedule(() -> write(ctx, index, whole), lateMs, TimeUnit.MILLISECONDS);
        } else {
            write(ctx, index, whole);
        }
    }

    private void write(ChannelHandlerContext ctx, long index, boolean whole) {
        List<Object> instances = new ArrayList<>();
        List<Line> told = new ArrayList<>();
        for (Line l : lines.values()) {
            boolean gone = l.lifecycle.equals("Gone");
            if (empty || whole && gone) {
                // A complete list that does not contain the node withdraws it.
                told.add(l);
            } else if (whole || l.version > index) {
                Map<String, Object> e = new LinkedHashMap<>();
                e.put("instanceId", l.node.id());
                e.put("hostPort", seen.apply(ctx.channel().attr(SIDECAR).get(), l.node));
                e.put("zone", l.node.zone());
                e.put("machineType", "stand-in");
                e.put("cell", 0);
                e.put("lifecycle", l.lifecycle);
                e.put("weight", 1.0);
                e.put("startedAtMs", l.node.startedMs());
                if (l.node.grpcPort() > 0) {
                    e.put("grpcPort", l.node.grpcPort());
                }
                instances.add(e);
                told.add(l);
            }
        }
        Map<String, Object> list = new LinkedHashMap<>();
        list.put("generation", version);
        list.put("reset", whole || empty);
        list.put("instances", instances);
        answer(ctx, HttpResponseStatus.OK, JsonObject.write(list));
        for (Line l : told) {
            referee.told(
                    clock.nowMicros(),
                    ctx.channel().attr(SIDECAR).get(),
                    l.node.id(),
                    !empty && l.lifecycle.equals("Ready"));
        }
    }

    private static void answer(ChannelHandlerContext ctx, HttpResponseStatus status, byte[] body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        ctx.writeAndFlush(response);
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            call(ctx, request.uri());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    @Override
    public void close() {
        listeners.forEach(Channel::close);
        down(true);
    }
}
