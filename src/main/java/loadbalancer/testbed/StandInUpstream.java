package loadbalancer.testbed;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
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
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.core.Clock;

/**
 * A stand-in booking node over HTTP/1.1: it works on requests at its capacity, queues some, turns the rest away, reports
 * its load, and can be killed, started cold, made to stall, to drain or to reset what comes. All on the stage's loop; its
 * methods may be called from any thread and take effect in the order of the calls.
 */
public final class StandInUpstream implements AutoCloseable {
    private static final byte[] MB = new byte[1024 * 1024];
    private static final int MAX_BODY = 64 * 1024;
    private static final int RELISTEN_MS = 20;

    /** One request that was worked on; {@code parent} is the traceparent it came with, or null. Times are module time. */
    public record Ran(String id, String parent, long begunUs, long endedUs) {}

    private static final int MOST_RAN = 1 << 18;

    private record Job(String id, String parent, Consumer<String> served) {}

    private final EventLoop loop;
    private final Clock clock;
    private final Referee referee;
    private final String id;
    private final String zone;
    private final UpstreamShape shape;
    /** Coefficient of variation of the work. */
    private final double spread;

    private final Set<Channel> connections = new HashSet<>();
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private Channel listener;
    private volatile InetSocketAddress address;
    private UpstreamModel model;
    private volatile long startedUs;
    private int working;
    private long stalledUntilUs;
    private boolean draining;
    private boolean resetting;
    private final Queue<Ran> ran = new ConcurrentLinkedQueue<>();
    /** Counts the lives of the process: work of an earlier one ends nowhere. */
    private int life;

    private volatile int served;
    private volatile GrpcUpstreamServer grpc;

    StandInUpstream(
            EventLoop loop, Clock clock, Referee referee, String id, String zone, UpstreamShape shape, double spread) {
        this.spread = spread;
        this.loop = loop;
        this.clock = clock;
        this.referee = referee;
        this.id = id;
        this.zone = zone;
        this.shape = shape;
        model = new UpstreamModel(shape, 0);
    }

    StandInUpstream listen() throws InterruptedException {
        listener = bind(new InetSocketAddress("127.0.0.1", 0)).bind().sync().channel();
        address = (InetSocketAddress) listener.localAddress();
        return this;
    }

    private ServerBootstrap bind(InetSocketAddress to) {
        return new ServerBootstrap()
                .group(loop)
                .channelFactory(NioServerSocketChannel::new)
                .localAddress(to)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connections.add(channel);
                        channel.closeFuture().addListener(f -> connections.remove(channel));
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY), new Handler());
                    }
                });
    }

    public String id() {
        return id;
    }

    public String zone() {
        return zone;
    }

    public String address() {
        return "127.0.0.1:" + address.getPort();
    }

    /** The same as a socket's. */
    public InetSocketAddress socketAddress() {
        return address;
    }

    /** Unix time of the last start; 0 for long ago. */
    public long startedMs() {
        return startedUs / 1000;
    }

    /** Requests it has served in all. */
    public int served() {
        return served;
    }

    /** What it has worked on to the end, whoever still waited for it: the spans of a node. */
    public List<Ran> ran() {
        return List.copyOf(ran);
    }

    /** The process dies: connections are reset, new ones refused, what it held is gone. */
    public void kill() {
        loop.execute(this::die);
    }

    private void die() {
        life++;
        listener.close();
        if (grpc != null) {
            grpc.die();
        }
        for (Channel c : Set.copyOf(connections)) {
            c.config().setOption(ChannelOption.SO_LINGER, 0);
            c.close();
        }
        waiting.clear();
        working = 0;
        draining = false;
    }

    /** It comes back on its address, cold. */
    public void restart() {
        loop.execute(this::comeBack);
    }

    private void comeBack() {
        long now = clock.nowMicros();
        model = new UpstreamModel(shape, now);
        startedUs = now;
        if (grpc != null) {
            grpc.listenAgain();
        }
        bindAgain();
    }

    private void bindAgain() {
        bind(address).bind().addListener(f -> {
            if (f.isSuccess()) {
                listener = ((io.netty.channel.ChannelFuture) f).channel();
            } else if (!loop.isShuttingDown()) {
                // The old listener is not gone yet.
                loop.schedule(this::bindAgain, RELISTEN_MS, TimeUnit.MILLISECONDS);
            }
        });
    }

    /** It stands still for so long: nothing is begun and nothing ends. */
    public void stall(long ms) {
        loop.execute(() -> stalledUntilUs = clock.nowMicros() + ms * 1000);
    }

    /** It finishes what it has and turns all else away. */
    public void drain() {
        loop.execute(() -> draining = true);
    }

    /** From now on each connection is reset once a request has come whole on it. */
    public void reset(boolean on) {
        loop.execute(() -> resetting = on);
    }

    private void begin() {
        long now = clock.nowMicros();
        if (now < stalledUntilUs) {
            int before = life;
            loop.schedule(
                    () -> {
                        if (life == before) {
                            begin();
                        }
                    },
                    stalledUntilUs - now,
                    TimeUnit.MICROSECONDS);
            return;
        }
        while (working < shape.cores() && !waiting.isEmpty()) {
            Job job = waiting.poll();
            working++;
            referee.ran(now, id, zone, job.id);
            finishIn(job, now, model.serviceUs(now, workMs(job.id)), life);
        }
    }

    /** Log-normal, drawn by its id: the same on each node. */
    private double workMs(String txn) {
        if (spread == 0) {
            return shape.workMs();
        }
        double variance = Math.log(1 + spread * spread);
        return shape.workMs()
                * Math.exp(
                        Math.sqrt(variance) * new SplittableRandom(txn.hashCode() * 0x9e3779b97f4a7c15L).nextGaussian()
                                - variance / 2);
    }

    private void finishIn(Job job, long begunUs, long us, int ofLife) {
        loop.schedule(
                () -> {
                    if (life != ofLife) {
                        return;
                    }
                    long now = clock.nowMicros();
                    if (now < stalledUntilUs) {
                        finishIn(job, begunUs, stalledUntilUs - now, ofLife);
                        return;
                    }
                    working--;
                    served++;
                    if (ran.size() < MOST_RAN) {
                        ran.add(new Ran(job.id, job.parent, begunUs, now));
                    }
                    job.served.accept("{\"node\":\"" + id + "\",\"txn\":\"" + job.id + "\"}");
                    begin();
                },
                us,
                TimeUnit.MICROSECONDS);
    }

    /** A request has come whole, by whichever protocol; one of the three runs, or none where the process dies. */
    private void take(String txn, String parent, Consumer<String> served, Runnable turnedAway, Runnable reset) {
        long now = clock.nowMicros();
        referee.attempted(now, Testbed.sidecarOf(txn), id, txn);
        double multiple = model.push(now);
        if (model.warmth(now) < 1) {
            referee.pushed(now, id, multiple);
        }
        if (model.fallen()) {
            die();
        } else if (resetting) {
            referee.ran(now, id, zone, txn);
            reset.run();
        } else if (draining || waiting.size() >= shape.waiting()) {
            turnedAway.run();
        } else {
            waiting.add(new Job(txn, parent, served));
            begin();
        }
    }

    /** From now on the node speaks gRPC too, on a port of its own. */
    StandInUpstream speakGrpc() throws InterruptedException {
        GrpcUpstreamServer made = new GrpcUpstreamServer(
                loop,
                new GrpcUpstreamServer.Work() {
                    @Override
                    public void take(
                            String txn, String parent, Consumer<String> served, Runnable turnedAway, Runnable reset) {
                        StandInUpstream.this.take(txn, parent, served, turnedAway, reset);
                    }

                    @Override
                    public void ran(String txn) {
                        long now = clock.nowMicros();
                        referee.attempted(now, Testbed.sidecarOf(txn), id, txn);
                        referee.ran(now, id, zone, txn);
                    }
                },
                this::load);
        made.listen();
        grpc = made;
        return this;
    }

    /** 0 where it does not speak gRPC. */
    public int grpcPort() {
        return grpc == null ? 0 : grpc.port();
    }

    GrpcUpstreamServer grpc() {
        return grpc;
    }

    private String load() {
        return String.format(
                Locale.ROOT,
                "TEXT inflight=%d, queue=%d, util=%.2f",
                working + waiting.size(),
                waiting.size(),
                (double) working / shape.cores());
    }

    /** Who asks for {@code ?mb=N} is answered with so much. */
    private static ByteBuf content(String uri, String body) {
        int at = uri.indexOf("?mb=");
        ByteBuf[] parts = new ByteBuf[at < 0 ? 0 : Math.min(32, Integer.parseInt(uri.substring(at + 4)))];
        Arrays.setAll(parts, i -> Unpooled.wrappedBuffer(MB));
        return at < 0
                ? Unpooled.copiedBuffer(body, StandardCharsets.UTF_8)
                : Unpooled.wrappedBuffer(parts.length, parts);
    }

    private void answer(ChannelHandlerContext ctx, HttpResponseStatus status, String body, boolean turnedAway) {
        answer(ctx, status, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8), turnedAway);
    }

    private void answer(ChannelHandlerContext ctx, HttpResponseStatus status, ByteBuf body, boolean turnedAway) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
                .set("X-Pressure", load());
        if (turnedAway) {
            response.headers().set("X-Turned-Away", "1");
        }
        ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (request.uri().equals("/stats")) {
                // Answered beside the queue; a node that stands still says nothing.
                long waitUs = Math.max(0, stalledUntilUs - clock.nowMicros());
                loop.schedule(() -> answer(ctx, HttpResponseStatus.OK, load(), false), waitUs, TimeUnit.MICROSECONDS);
                return;
            }
            if (request.uri().equals("/health/live")) {
                answer(ctx, draining ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK, "", false);
                return;
            }
            String uri = request.uri();
            String txn = request.headers().get("X-Txn");
            if (txn == null) {
                answer(ctx, HttpResponseStatus.NOT_FOUND, "", false);
                return;
            }
            take(
                    txn,
                    request.headers().get("traceparent"),
                    body -> answer(ctx, HttpResponseStatus.OK, content(uri, body), false),
                    () -> answer(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, "", true),
                    () -> {
                        ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
                        ctx.close();
                    });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    @Override
    public void close() {
        loop.execute(this::die);
    }
}
