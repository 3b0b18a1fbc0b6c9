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
 * A stand-in discovery service: the complete list and a watch on its changes. It can be down, list nothing, or lose
 * its versions. All on the stage's loop; methods may be called from any thread.
 */
public final class StandInDiscovery implements AutoCloseable {
    /** Changes up to this version are not stored. */
    private static final int INITIAL_VERSION = 40;

    private static final String READY = "Ready";
    private static final String GONE = "Gone";

    private record Registration(StandInUpstream node, String lifecycle, long version) {
        private boolean isGone() {
            return lifecycle.equals(GONE);
        }
    }

    private record Watch(ChannelHandlerContext context, long version) {}

    private static final AttributeKey<String> SIDECAR = AttributeKey.valueOf(StandInDiscovery.class, "sidecar");

    private final EventLoop loop;
    private final Clock clock;
    private final Referee referee;
    private final Map<String, Registration> registrations = new LinkedHashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private final Set<Channel> connections = new HashSet<>();
    private final List<Channel> listeners = new CopyOnWriteArrayList<>();
    private long version = INITIAL_VERSION;
    private volatile boolean down;
    private volatile boolean empty;
    private volatile boolean unreadableEntry;
    private volatile int calls;
    private volatile BiFunction<String, StandInUpstream, String> addressBySidecar = (sidecar, node) -> node.address();
    private final Map<Long, Integer> callsInSecond = new LinkedHashMap<>();

    StandInDiscovery(EventLoop loop, Clock clock, Referee referee) {
        this.loop = loop;
        this.clock = clock;
        this.referee = referee;
    }

    /** Listens on another address for this sidecar, so that calls of several sidecars can be told apart. */
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
                            watches.removeIf(w -> w.context.channel() == channel);
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

    /** Lists the node as {@code Ready}, {@code Terminating} or {@code Gone}, and answers all watches. */
    public void list(StandInUpstream node, String lifecycle) {
        loop.execute(() -> {
            registrations.put(node.id(), new Registration(node, lifecycle, ++version));
            answerWatches();
        });
    }

    private void answerWatches() {
        for (Watch watch : List.copyOf(watches)) {
            watches.remove(watch);
            respond(watch.context, watch.version, false);
        }
    }

    /** Takes the service down or up: while down it closes all connections and answers calls with 503. */
    public void down(boolean now) {
        down = now;
        if (now) {
            loop.execute(() -> {
                watches.clear();
                Set.copyOf(connections).forEach(Channel::close);
            });
        }
    }

    /** Sets the address that lists contain, by the name of the sidecar that gets the list and the node. */
    public void listAddresses(BiFunction<String, StandInUpstream, String> address) {
        addressBySidecar = address;
    }

    /** From now on a new version withdraws all nodes by an empty complete list, or lists them again. */
    public void empty(boolean now) {
        loop.execute(() -> {
            empty = now;
            version++;
            registrations.replaceAll(
                    (id, registration) -> new Registration(registration.node, registration.lifecycle, version));
            answerWatches();
        });
    }

    /** Adds an entry that can't be read to each list from now on, or no longer. */
    public void listUnreadableEntry(boolean now) {
        unreadableEntry = now;
    }

    /** Continues from the lowest version, as a service that was restored from a backup does. */
    public void resetVersions() {
        loop.execute(() -> {
            version = 1;
            registrations.replaceAll(
                    (id, registration) -> new Registration(registration.node, registration.lifecycle, 1));
        });
    }

    /** Number of calls, including those that failed. */
    public int calls() {
        return calls;
    }

    /** Largest number of calls in one second, from {@code second} in Unix time on. */
    public int callsPeakSince(long second) {
        return loop.submit(() -> callsInSecond.entrySet().stream()
                        .filter(e -> e.getKey() >= second)
                        .mapToInt(Map.Entry::getValue)
                        .max()
                        .orElse(0))
                .syncUninterruptibly()
                .getNow();
    }

    private void call(ChannelHandlerContext context, String uri) {
        calls++;
        callsInSecond.merge(clock.nowMicros() / 1_000_000, 1, Integer::sum);
        if (down) {
            send(context, HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0]);
            return;
        }
        QueryStringDecoder query = new QueryStringDecoder(uri);
        if (!query.parameters().containsKey("index")) {
            respond(context, 0, true);
            return;
        }
        long sinceVersion = Long.parseLong(query.parameters().get("index").get(0));
        long waitMillis = Long.parseLong(
                query.parameters().getOrDefault("wait", List.of("0")).get(0));
        if (sinceVersion != version) {
            // Changes are stored only from the initial version on, and a later version is of another history.
            respond(context, sinceVersion, sinceVersion > version || sinceVersion < INITIAL_VERSION);
            return;
        }
        Watch watch = new Watch(context, sinceVersion);
        watches.add(watch);
        loop.schedule(
                () -> {
                    if (watches.remove(watch)) {
                        respond(context, sinceVersion, false);
                    }
                },
                waitMillis,
                TimeUnit.MILLISECONDS);
    }

    /** Responds with the complete list, or with the changes since {@code sinceVersion}; an empty list is complete. */
    private void respond(ChannelHandlerContext context, long sinceVersion, boolean complete) {
        boolean listsAll = complete || empty;
        List<Registration> listed = registrations.values().stream()
                .filter(registration -> !empty)
                .filter(registration -> listsAll ? !registration.isGone() : registration.version > sinceVersion)
                .toList();
        String sidecar = context.channel().attr(SIDECAR).get();
        Map<String, Object> list = new LinkedHashMap<>();
        list.put("generation", version);
        list.put("reset", listsAll);
        list.put("instances", entries(sidecar, listed));
        send(context, HttpResponseStatus.OK, JsonObject.write(list));
        recordNotified(sidecar, listed, listsAll);
    }

    private List<Map<String, Object>> entries(String sidecar, List<Registration> listed) {
        List<Map<String, Object>> entries = new ArrayList<>();
        if (unreadableEntry) {
            entries.add(Map.of("instanceId", "unreadable", "hostPort", "", "lifecycle", READY));
        }
        listed.forEach(registration -> entries.add(entry(sidecar, registration)));
        return entries;
    }

    private Map<String, Object> entry(String sidecar, Registration registration) {
        String address = addressBySidecar.apply(sidecar, registration.node);
        Map<String, Object> entry =
                Testbed.Listed.of(registration.node, address).json();
        entry.put("lifecycle", registration.lifecycle);
        return entry;
    }

    /** Tells the referee what a response says; a complete list withdraws the nodes that it does not contain. */
    private void recordNotified(String sidecar, List<Registration> listed, boolean complete) {
        for (Registration registration : complete ? registrations.values() : listed) {
            boolean usable = listed.contains(registration) && registration.lifecycle.equals(READY);
            referee.told(clock.nowMicros(), sidecar, registration.node.id(), usable);
        }
    }

    private static void send(ChannelHandlerContext context, HttpResponseStatus status, byte[] body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        context.writeAndFlush(response);
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
