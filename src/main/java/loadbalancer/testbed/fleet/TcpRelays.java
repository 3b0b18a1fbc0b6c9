package loadbalancer.testbed.fleet;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * TCP between sidecars and upstreams that a rig can cut: each group of sidecars has a relay before each upstream, so that what one group
 * meets there another need not. What is written while a way is cut is swallowed, as packets are: when it heals, connections over which
 * anything was lost are reset, for no byte of theirs comes in order any more.
 */
final class TcpRelays implements AutoCloseable {
    /** How a group's connections to an upstream fare. */
    enum Way {
        OPEN,
        /** What there is breaks, and so does each new one as soon as it is made. */
        RESET,
        /** Connections come up, as a half-open firewall has it, and nothing passes in either direction. */
        SILENT,
        /** Requests arrive and run; their answers are lost. */
        ANSWERS_LOST,
        /** Requests are lost; what the upstream still says arrives. */
        REQUESTS_LOST;

        private boolean passes(boolean toUpstream) {
            return this == OPEN || this == (toUpstream ? ANSWERS_LOST : REQUESTS_LOST);
        }
    }

    private record Key(int group, String upstream) {}

    private static final class Relay {
        final InetSocketAddress to;
        final Set<Pipe> pipes = new LinkedHashSet<>();
        Way way = Way.OPEN;
        Channel listener;

        Relay(InetSocketAddress to) {
            this.to = to;
        }
    }

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Map<Key, Relay> relays = new LinkedHashMap<>();
    private long swallowed;

    /** Where this group finds the upstream that is at {@code to}; the same each time. */
    synchronized String address(int of, String upstream, InetSocketAddress to) {
        Relay known = relays.get(new Key(of, upstream));
        if (known == null) {
            known = new Relay(to);
            Relay made = known;
            made.listener = new ServerBootstrap()
                    .group(loop)
                    .channelFactory(NioServerSocketChannel::new)
                    .childOption(ChannelOption.AUTO_READ, false)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel client) {
                            new Pipe(made, client);
                        }
                    })
                    .bind("127.0.0.1", 0)
                    .syncUninterruptibly()
                    .channel();
            relays.put(new Key(of, upstream), made);
        }
        return "127.0.0.1:" + ((InetSocketAddress) known.listener.localAddress()).getPort();
    }

    /** From now on, and until it is told otherwise, for the ways from this group to upstreams with such ids. */
    synchronized void way(int of, Predicate<String> upstreams, Way way) {
        List<Relay> met = new ArrayList<>();
        relays.forEach((k, r) -> {
            if (k.group == of && upstreams.test(k.upstream)) {
                met.add(r);
            }
        });
        loop.submit(() -> {
                    for (Relay r : met) {
                        r.way = way;
                        List.copyOf(r.pipes).forEach(Pipe::changed);
                    }
                })
                .syncUninterruptibly();
    }

    /** Reads that were lost on a cut way. */
    long swallowed() {
        return loop.submit(() -> swallowed).syncUninterruptibly().getNow();
    }

    /** One connection through a relay, and its other half. */
    private final class Pipe {
        private final Relay relay;
        private final Channel client;
        private Channel upstream;
        private boolean torn;

        Pipe(Relay relay, Channel client) {
            this.relay = relay;
            this.client = client;
            relay.pipes.add(this);
            client.closeFuture().addListener(f -> end());
            if (relay.way == Way.RESET) {
                loop.execute(this::reset);
                return;
            }
            client.pipeline().addLast(new Half(true));
            new Bootstrap()
                    .group(loop)
                    .channelFactory(NioSocketChannel::new)
                    .option(ChannelOption.AUTO_READ, false)
                    .handler(new Half(false))
                    .connect(relay.to)
                    .addListener((io.netty.channel.ChannelFuture f) -> {
                        if (!f.isSuccess() || !client.isActive()) {
                            f.channel().close();
                            reset();
                            return;
                        }
                        upstream = f.channel();
                        upstream.closeFuture().addListener(g -> {
                            // Its end is as little heard of on a cut way as its bytes.
                            if (relay.way.passes(false)) {
                                client.close();
                            } else {
                                torn = true;
                            }
                        });
                        upstream.read();
                        client.read();
                    });
        }

        private void end() {
            relay.pipes.remove(this);
            if (upstream != null && relay.way.passes(true)) {
                upstream.close();
            }
        }

        private void reset() {
            for (Channel c : new Channel[] {client, upstream}) {
                if (c != null && c.isActive()) {
                    c.config().setOption(ChannelOption.SO_LINGER, 0);
                    c.close();
                }
            }
        }

        void changed() {
            if (relay.way == Way.RESET || relay.way == Way.OPEN && torn) {
                reset();
            }
        }

        private final class Half extends ChannelInboundHandlerAdapter {
            private final boolean fromClient;

            Half(boolean fromClient) {
                this.fromClient = fromClient;
            }

            @Override
            public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                Channel to = fromClient ? upstream : client;
                if (!relay.way.passes(fromClient) || torn) {
                    ReferenceCountUtil.release(bytes);
                    swallowed++;
                    torn = true;
                    ctx.read();
                    return;
                }
                to.writeAndFlush(bytes).addListener(f -> ctx.read());
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                ctx.close();
            }
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
