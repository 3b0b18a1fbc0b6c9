package loadbalancer.control.server;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.admin.AdminServer;
import loadbalancer.consensus.ActiveStage;
import loadbalancer.control.ControlGroup;
import loadbalancer.control.ControlReplica;
import loadbalancer.core.Clock;
import loadbalancer.core.EventLoops;
import loadbalancer.core.Log;
import loadbalancer.operator.PolicyFile;
import loadbalancer.toml.ConfigurationException;

/** The process of one replica. Runs on one event loop, except for a thread that reads files. */
public final class ControlServer {
    private static final int MAX_DATAGRAM_BYTES = 256;
    private static final long MIN_TICK_DELAY_MICROS = 1_000;
    private static final int MAX_QUEUED_FILE_READS = 64;
    private static final int EXIT_INVALID_INPUT = 2;
    private static final long NO_VERSION = 0;

    private final ControlFile file;
    private final EventLoop loop = EventLoops.single().next();
    private final Clock clock = new Clock();
    private final ControlReplica replica;
    private final Map<InetSocketAddress, Integer> replicaIds = new HashMap<>();
    private final SubscriberIds subscribers;
    /** The last logged stage of each scope; entries are null before the first one is logged. */
    private final ActiveStage[] loggedStages;

    private final ThreadPoolExecutor fileReader = new ThreadPoolExecutor(
            1, 1, 0, TimeUnit.SECONDS, new ArrayBlockingQueue<>(MAX_QUEUED_FILE_READS), ControlServer::newFileThread);
    private Channel channel;
    /** Datagrams from addresses that got no subscriber id, as all ids were in use. */
    private long datagramsWithoutId;

    /** Creates a replica that does not listen yet. */
    ControlServer(ControlFile file) {
        this.file = file;
        List<InetSocketAddress> addresses = file.tier().replicas();
        for (int replicaId = 0; replicaId < addresses.size(); replicaId++) {
            replicaIds.put(addresses.get(replicaId), replicaId);
        }
        subscribers = new SubscriberIds(addresses.size());
        loggedStages = new ActiveStage[file.scopes().size()];
        long seed = clock.nowMicros() * 31 + file.replicaId();
        replica = new ControlReplica(
                file.tier().group(), file.replicaId(), seed, clock.nowMicros(), this::rejectionReason);
    }

    private static Thread newFileThread(Runnable task) {
        Thread thread = new Thread(task, "scope-files");
        thread.setDaemon(true);
        return thread;
    }

    /** A summary, in one line, of a replica with this configuration file. */
    public static String explain(String path) throws ConfigurationException {
        ControlFile file = ControlFile.read(path);
        ControlGroup group = file.tier().group();
        return "replica " + file.replicaId() + " of " + group.replicas() + ", the first " + group.voters()
                + " vote; " + file.scopes().size() + " scopes of tier '" + group.fleet() + "', proposed from "
                + file.folder() + "; datagrams at " + file.listenAddress() + ", operators call at "
                + file.adminAddress();
    }

    /**
     * Runs a replica until the process is terminated; returns an exit code only if the configuration file is invalid.
     */
    public static int run(String path) throws InterruptedException {
        ControlFile file;
        try {
            file = ControlFile.read(path);
        } catch (ConfigurationException exception) {
            Log.event("start.refused", exception.getMessage());
            return EXIT_INVALID_INPUT;
        }
        Log.setJsonOutput(file.jsonLog());
        // Exits with 0 on SIGTERM, as that is no failure. Nothing has to be saved: the other replicas remember the
        // promises of this one.
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> Runtime.getRuntime().halt(0), "ending"));
        try {
            new ControlServer(file).start();
        } catch (Exception exception) {
            // Netty throws the cause of a failed bind, which may be of any type, without declaring it.
            Log.event("start.refused", "an address can't be listened on: " + exception.getMessage());
            Runtime.getRuntime().halt(EXIT_INVALID_INPUT);
        }
        new CountDownLatch(1).await();
        return 0;
    }

    private void start() throws InterruptedException {
        channel = new Bootstrap()
                .group(loop)
                .channelFactory(NioDatagramChannel::new)
                .handler(new Receiver())
                .bind(file.listenAddress())
                .sync()
                .channel();
        InetSocketAddress admin = new AdminServer(loop, new ControlRequestHandler(this)).listen(file.adminAddress());
        Log.event(
                "control.serves",
                "replica " + file.replicaId() + " of " + file.tier().replicas().size() + " serves on "
                        + channel.localAddress() + ", operators call at " + admin);
        loop.execute(this::tick);
    }

    private void tick() {
        replica.tick(clock.nowMicros(), this::send);
        logStageChanges();
        long delayMicros = Math.max(MIN_TICK_DELAY_MICROS, replica.nextTickMicros() - clock.nowMicros());
        loop.schedule(this::tick, delayMicros, TimeUnit.MICROSECONDS);
    }

    private void send(int to, byte[] datagram) {
        List<InetSocketAddress> replicas = file.tier().replicas();
        Optional<InetSocketAddress> address =
                to < replicas.size() ? Optional.of(replicas.get(to)) : subscribers.address(to);
        address.ifPresent(
                receiver -> channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), receiver)));
    }

    private void receive(InetSocketAddress sender, byte[] datagram) {
        Integer replicaId = replicaIds.get(sender);
        OptionalInt from = replicaId != null ? OptionalInt.of(replicaId) : subscribers.idOf(sender, clock.nowMicros());
        if (from.isPresent()) {
            replica.receive(clock.nowMicros(), from.getAsInt(), datagram, this::send);
        } else {
            datagramsWithoutId++;
        }
    }

    /**
     * Logs the stage of each scope that has changed. Called on ticks and operators' requests only, as it costs too much
     * for each datagram.
     */
    private void logStageChanges() {
        long nowMicros = clock.nowMicros();
        for (int scope = 0; scope < loggedStages.length; scope++) {
            ActiveStage active = replica.activeStage(scope, nowMicros);
            if (!active.equals(loggedStages[scope])) {
                loggedStages[scope] = active;
                logStageChange(scope, active);
            }
        }
    }

    private void logStageChange(int scope, ActiveStage active) {
        if (active.index() < 0) {
            return;
        }
        String name = scopes().get(scope);
        String version = versionName(active.newVersion());
        String text;
        if (!active.leaseValid()) {
            text = "lease expired: no leases are granted until a majority answers";
        } else if (active.isJoint()) {
            text = "version " + version + " is active jointly with the previous version";
        } else {
            text = "version " + version + " is active";
        }
        Log.event(
                active.leaseValid() ? "control.stage.active" : "control.lease.expired",
                "scope " + name + ": " + text,
                "scope",
                name,
                "index",
                active.index(),
                "version",
                version);
    }

    /** A version in the form that operators see: hexadecimal, or {@code none}. */
    static String versionName(long version) {
        return version == NO_VERSION ? "none" : Long.toHexString(version);
    }

    /** Returns why a content can't be applied, or null if it can. */
    private String rejectionReason(byte[] content) {
        try {
            PolicyFile.read(content, file.zones());
            return null;
        } catch (ConfigurationException exception) {
            return exception.getMessage();
        }
    }

    ControlReplica replica() {
        return replica;
    }

    long nowMicros() {
        return clock.nowMicros();
    }

    /** Names of all scopes, by index. */
    List<String> scopes() {
        return file.scopes();
    }

    /** Number of addresses, without those of replicas, that have sent datagrams and still have an id. */
    int subscribers() {
        return subscribers.size();
    }

    /**
     * Number of datagrams and messages that were malformed, of another tier or scope, not allowed from their sender, or
     * from an address that got no subscriber id.
     */
    long droppedDatagrams() {
        return datagramsWithoutId + replica.droppedMessages();
    }

    /**
     * Proposes the content of a scope's file.
     *
     * @param callback called once, on the event loop, with the reason for a rejection, or empty if the content was
     *     proposed
     */
    void propose(int scope, Consumer<Optional<String>> callback) {
        Path path = file.folder().resolve(scopes().get(scope) + ".toml");
        try {
            fileReader.execute(() -> readAndPropose(path, scope, callback));
        } catch (RejectedExecutionException exception) {
            callback.accept(Optional.of("too many files wait to be read"));
        }
    }

    private void readAndPropose(Path path, int scope, Consumer<Optional<String>> callback) {
        try {
            byte[] content = Files.readAllBytes(path);
            loop.execute(() -> callback.accept(propose(scope, content)));
        } catch (IOException exception) {
            loop.execute(() -> callback.accept(Optional.of(path + ": can't be read: " + exception)));
        }
    }

    private Optional<String> propose(int scope, byte[] content) {
        if (replica.isProposalPending(scope)) {
            return Optional.of("a change is under way: see its status, or take it back");
        }
        Optional<String> rejection = replica.propose(scope, content, clock.nowMicros(), this::send);
        Log.event(
                "control.proposed",
                "scope " + scopes().get(scope) + ": "
                        + rejection
                                .map(reason -> "rejected: " + reason)
                                .orElse(content.length + " bytes are proposed"));
        logStageChanges();
        return rejection;
    }

    /** Requests a rollback of an unfinished change of a scope. */
    void abort(int scope) {
        Log.event("control.abort", "scope " + scopes().get(scope) + ": rollback of the unfinished change requested");
        replica.abort(scope, clock.nowMicros(), this::send);
        logStageChanges();
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            if (packet.content().readableBytes() <= MAX_DATAGRAM_BYTES) {
                receive(packet.sender(), ByteBufUtil.getBytes(packet.content()));
            }
        }

        /**
         * Ignores errors, such as an ICMP "port unreachable" for an earlier datagram, so that the socket stays open.
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {}
    }
}
