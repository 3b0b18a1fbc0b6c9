package rushproxy.scale;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import rushproxy.consensus.ConsensusGroup;
import rushproxy.consensus.ConsensusNode;
import rushproxy.core.Clock;
import rushproxy.fleet.Holdings;

/**
 * The control part of one sidecar on a socket of its own: it votes, holds a lease and takes changes of configuration as a real one does,
 * looks at the clock as often, and has no data path. All on the host's event loop.
 */
final class HollowSidecar {
    /** As {@code sidecar.Policies} looks at the clock. */
    private static final long MOST_LOOK_US = 50_000, LEAST_LOOK_US = 1_000;

    private final int number;
    private final Fleet fleet;
    private final EventLoop loop;
    private final Clock clock;
    private final Directory directory;
    private final Traffic traffic;
    private final SettledLog settled;
    /** Null before it is given any load. */
    private HollowLoad load;

    private Channel channel;
    private ConsensusNode consensus;
    private long lives;
    private boolean silent;
    /** The next look at the clock; null while none is due. */
    private ScheduledFuture<?> nextLook;

    private long version;

    HollowSidecar(
            int number,
            Fleet fleet,
            EventLoop loop,
            Clock clock,
            Directory directory,
            Traffic traffic,
            SettledLog settled) {
        this.number = number;
        this.fleet = fleet;
        this.loop = loop;
        this.clock = clock;
        this.directory = directory;
        this.traffic = traffic;
        this.settled = settled;
    }

    /** Opens its socket; it says nothing before {@link #start}. Not to be called on the loop. */
    int open() throws InterruptedException {
        channel = new Bootstrap()
                .group(loop)
                .channelFactory(NioDatagramChannel::new)
                .handler(new Receiver())
                .bind("127.0.0.1", 0)
                .sync()
                .channel();
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** A new process: it remembers nothing. */
    void start() {
        lives++;
        silent = false;
        version = 0;
        consensus = new ConsensusNode(
                ConsensusGroup.withoutSubscribers(
                        fleet.name().hashCode(), fleet.voters(), fleet.members(), fleet.leaseUs()),
                number,
                fleet.seed() + number * 1_000_003L + lives,
                clock.now(),
                content -> null);
        look();
    }

    /** It neither hears nor says anything, as a process that stands still; its sockets stay open. */
    void silence(boolean now) {
        silent = now;
        if (!now) {
            look();
        }
    }

    /** Requests of its own begin, so many a second on the average, and it tells the others what it holds. */
    void load(double perSecond) {
        load = new HollowLoad(number, fleet.members(), loop, clock, fleet.seed() + number, (to, message) -> {
            if (to != number) {
                send(to, message);
            }
        });
        load.start(perSecond);
    }

    /** Requests that have begun here. */
    long requests() {
        return load == null ? 0 : load.requests();
    }

    /** Why it can't be proposed; null where it is on its way. */
    String propose(byte[] content) {
        String refusal = consensus.propose(clock.now(), content, this::send);
        observe();
        return refusal;
    }

    /** Whether it has heard what is in force, and is sure that it still is. */
    boolean sure() {
        return consensus != null
                && !silent
                && consensus.learnt()
                && consensus.inForce(clock.now()).sure();
    }

    private void look() {
        if (nextLook != null) {
            nextLook.cancel(false);
            nextLook = null;
        }
        if (silent) {
            return;
        }
        consensus.tick(clock.now(), this::send);
        observe();
    }

    private void observe() {
        ConsensusNode.InForce inForce = consensus.inForce(clock.now());
        if (inForce.sure() && !inForce.joint() && inForce.to() != version) {
            version = inForce.to();
            settled.settled(version, clock.now());
        }
        if (nextLook == null) {
            long delayUs = Math.max(LEAST_LOOK_US, Math.min(MOST_LOOK_US, consensus.dueAt() - clock.now()));
            nextLook = loop.schedule(this::look, delayUs, TimeUnit.MICROSECONDS);
        }
    }

    private void send(int to, byte[] message) {
        InetSocketAddress address = directory.address(to);
        if (address != null) {
            traffic.sent(message.length);
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(message), address));
        }
    }

    private void received(int from, byte[] message) {
        traffic.received(from, message.length);
        if (silent || consensus == null || !directory.passes(from, number)) {
            return;
        }
        if (Holdings.isWord(message)) {
            if (load != null) {
                load.heard(from, message);
            }
            return;
        }
        consensus.hear(clock.now(), from, message, this::send);
        observe();
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            int from = directory.number(packet.sender());
            if (from >= 0) {
                received(from, ByteBufUtil.getBytes(packet.content()));
            }
        }

        /** The network says of an earlier datagram that nobody was there: no reason to stop listening. */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {}
    }
}
