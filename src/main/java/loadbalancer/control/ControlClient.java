package loadbalancer.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;
import loadbalancer.consensus.ActiveStage;
import loadbalancer.consensus.ConsensusGroup;
import loadbalancer.consensus.ConsensusNode;
import loadbalancer.consensus.DatagramSender;
import loadbalancer.consensus.Subscription;
import loadbalancer.consensus.Subscription.MessageKind;

/**
 * A sidecar's client of the control tier. Subscribes to scopes, all at one replica, and migrates to the next replica
 * when that one no longer grants leases. Requests never wait for the client: they are decided by the current
 * {@link #activeStage}. Does no I/O; times are in microseconds of a monotonic clock. Not thread-safe.
 */
public final class ControlClient {
    private static final int RENEWALS_PER_LEASE = 4;
    /**
     * The client migrates after this number of consecutive rounds of lease requests in which leases on some scopes were
     * not granted.
     */
    private static final int MAX_UNANSWERED_ROUNDS = 2;

    private static final int RETRIES_PER_ROUND = 3;
    /** Longest interval between rounds until a stage of every scope is known. */
    private static final long MAX_STARTUP_INTERVAL_MICROS = 200_000;

    private static final long CHUNK_RETRY_MICROS = 40_000;
    /**
     * Delay from a received chunk to the next chunk request, so that other chunks of the same request can arrive first.
     */
    private static final long NEXT_CHUNKS_DELAY_MICROS = 5_000;
    /** Time at another replica after which the client returns to the preferred one. */
    private static final long FAILBACK_DELAY_MICROS = 30_000_000;

    private final int[] replicas;
    private final long renewalIntervalMicros;
    private final SplittableRandom random;
    private final Map<Integer, Subscription> subscriptions = new LinkedHashMap<>();
    private final Map<Integer, Integer> scopeByRegisterId = new HashMap<>();
    /** Scopes for which no lease was granted since the last round of lease requests. */
    private final Set<Integer> awaitedScopes = new HashSet<>();

    private int replicaIndex;
    private long connectedAtMicros;
    private long requestAtMicros;
    private long nextRoundAtMicros;
    private long chunkRequestAtMicros = Long.MAX_VALUE;
    private int unansweredRounds;
    private long migrations;
    private long droppedMessages;

    /**
     * Creates a client that knows no stage yet.
     *
     * @param scopes indexes of the scopes to subscribe to
     * @param replicas numbers of the replicas in order of preference; at least one
     * @param seed different for each process
     * @param validator returns why a content can't be applied here, or null if it can
     */
    public ControlClient(
            ControlGroup group,
            List<Integer> scopes,
            int[] replicas,
            long seed,
            long nowMicros,
            Function<byte[], String> validator) {
        this.replicas = replicas.clone();
        random = new SplittableRandom(seed);
        renewalIntervalMicros = group.subscriberLeaseMicros() / RENEWALS_PER_LEASE;
        for (int scope : scopes) {
            ConsensusGroup register = group.register(scope);
            subscriptions.put(scope, new Subscription(register, random.nextLong(), validator));
            scopeByRegisterId.put(register.registerId(), scope);
        }
        connectedAtMicros = nowMicros;
        requestAtMicros = nowMicros;
    }

    /** The stage of a scope by which requests are decided now. */
    public ActiveStage activeStage(int scope, long nowMicros) {
        return subscriptions.get(scope).activeStage(nowMicros);
    }

    /** Expiry time, possibly past, of the last lease on a scope; {@link Long#MIN_VALUE} before the first lease. */
    public long leaseExpiryMicros(int scope) {
        return subscriptions.get(scope).leaseExpiryMicros();
    }

    /** The content of a version of a scope, if it has been downloaded. */
    public Optional<byte[]> content(int scope, long version) {
        return subscriptions.get(scope).content(version);
    }

    /** Whether this client has learned a stage of each scope. */
    public boolean isReady() {
        return subscriptions.values().stream().allMatch(Subscription::hasLearnedStage);
    }

    /** Number of the replica at which this client subscribes now. */
    public int replica() {
        return replicas[replicaIndex];
    }

    /** Number of migrations to another replica. */
    public long migrations() {
        return migrations;
    }

    /** Number of datagrams and messages that were malformed, of another tier or scope, or not meant for a client. */
    public long droppedMessages() {
        return droppedMessages
                + subscriptions.values().stream()
                        .mapToLong(Subscription::droppedMessages)
                        .sum();
    }

    /** When {@link #tick} is due next. */
    public long nextTickMicros() {
        return Math.min(requestAtMicros, chunkRequestAtMicros);
    }

    /** Sends the requests that are due. */
    public void tick(long nowMicros, DatagramSender sender) {
        DatagramBatch batch = new DatagramBatch(sender);
        if (nowMicros >= requestAtMicros) {
            chooseReplica(nowMicros);
            requestLeases(nowMicros, batch);
        }
        if (nowMicros >= chunkRequestAtMicros) {
            requestChunks(nowMicros, batch);
        }
        batch.flush();
    }

    private void chooseReplica(long nowMicros) {
        if (unansweredRounds >= MAX_UNANSWERED_ROUNDS) {
            migrateTo(nowMicros, (replicaIndex + 1) % replicas.length);
        } else if (replicaIndex != 0 && nowMicros - connectedAtMicros >= FAILBACK_DELAY_MICROS) {
            migrateTo(nowMicros, 0);
        }
    }

    private void migrateTo(long nowMicros, int nextIndex) {
        replicaIndex = nextIndex;
        connectedAtMicros = nowMicros;
        unansweredRounds = 0;
        migrations++;
    }

    /**
     * Requests a lease on each scope. Intervals are random, so that sidecars that start together do not request at the
     * same time.
     */
    private void requestLeases(long nowMicros, DatagramBatch batch) {
        unansweredRounds++;
        awaitedScopes.addAll(subscriptions.keySet());
        long intervalMicros =
                isReady() ? renewalIntervalMicros : Math.min(renewalIntervalMicros, MAX_STARTUP_INTERVAL_MICROS);
        nextRoundAtMicros = nowMicros + intervalMicros / 2 + random.nextLong(intervalMicros / 2 + 1);
        requestAtMicros = Math.min(nextRoundAtMicros, nowMicros + intervalMicros / RETRIES_PER_ROUND);
        subscriptions.values().forEach(subscription -> subscription.requestLease(nowMicros, replica(), batch::add));
    }

    private void requestChunks(long nowMicros, DatagramBatch batch) {
        boolean downloading = false;
        for (Subscription subscription : subscriptions.values()) {
            if (subscription.isDownloading()) {
                subscription.requestChunks(replica(), batch::add);
                downloading = true;
            }
        }
        chunkRequestAtMicros = downloading ? nowMicros + CHUNK_RETRY_MICROS : Long.MAX_VALUE;
    }

    /** Processes a datagram; {@code from} is the number of the replica that sent it. */
    public void receive(long nowMicros, int from, byte[] datagram, DatagramSender sender) {
        DatagramBatch batch = new DatagramBatch(sender);
        boolean complete = DatagramBatch.read(datagram, message -> receiveMessage(nowMicros, from, message, batch));
        if (!complete) {
            droppedMessages++;
        }
        batch.flush();
    }

    private void receiveMessage(long nowMicros, int from, byte[] message, DatagramBatch batch) {
        Integer scope = scopeByRegisterId.get(ConsensusNode.registerIdOf(message));
        if (scope == null) {
            droppedMessages++;
            return;
        }
        Subscription subscription = subscriptions.get(scope);
        boolean wasDownloading = subscription.isDownloading();
        MessageKind kind = subscription.receive(nowMicros, from, message, batch::add);
        boolean leaseGranted = kind == MessageKind.LEASE_GRANTED || kind == MessageKind.STAGE_ADOPTED;
        if (leaseGranted && awaitedScopes.remove(scope) && awaitedScopes.isEmpty()) {
            unansweredRounds = 0;
            requestAtMicros = nextRoundAtMicros;
        }
        boolean downloaded = wasDownloading && !subscription.isDownloading();
        if (kind == MessageKind.STAGE_CHANGED || kind == MessageKind.STAGE_ADOPTED || downloaded) {
            subscription.requestLease(nowMicros, from, batch::add);
        }
        if (subscription.isDownloading()) {
            long delayMicros = kind == MessageKind.CHUNK ? NEXT_CHUNKS_DELAY_MICROS : 0;
            chunkRequestAtMicros = Math.min(chunkRequestAtMicros, nowMicros + delayMicros);
        }
    }
}
