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
 * A sidecar's part in the control tier: its subscriptions to scopes, all at one replica, and its migration to the next one when that grants no
 * leases any more. No request waits for it: whoever decides reads {@link #activeStage} and goes on. Pure, times are in microseconds of a
 * monotonic clock; not thread-safe.
 */
public final class ControlClient {
    private static final int RENEWALS_PER_LEASE = 4;
    /** Rounds of requests without a lease on each scope before it migrates. */
    private static final int MAX_UNANSWERED_ROUNDS = 2;

    private static final int RETRIES_PER_ROUND = 3;
    /** Longest interval between rounds until every scope is known. */
    private static final long MAX_STARTUP_INTERVAL_MICROS = 200_000;

    private static final long CHUNK_RETRY_MICROS = 40_000;
    /** Delay after a chunk before the next request, so that the others of the same request have arrived. */
    private static final long NEXT_CHUNKS_DELAY_MICROS = 5_000;
    /** Stay at another replica before the preferred one is tried again. */
    private static final long FAILBACK_DELAY_MICROS = 30_000_000;

    private final int[] replicas;
    private final long renewalIntervalMicros;
    private final SplittableRandom random;
    private final Map<Integer, Subscription> subscriptions = new LinkedHashMap<>();
    private final Map<Integer, Integer> scopeByRegisterId = new HashMap<>();
    /** Scopes without a lease since the last round. */
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
     * A client without memory.
     *
     * @param scopes indexes of the scopes to subscribe to
     * @param replicas numbers of the replicas to ask, the preferred one first; at least one
     * @param seed different for each process
     * @param validator why a content can't be applied here; null if it can
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

    /** The stage of a scope to decide by. */
    public ActiveStage activeStage(int scope, long nowMicros) {
        return subscriptions.get(scope).activeStage(nowMicros);
    }

    /** When the last lease on a scope expires, or expired; {@link Long#MIN_VALUE} before the first. */
    public long leaseExpiryMicros(int scope) {
        return subscriptions.get(scope).leaseExpiryMicros();
    }

    /** The content of a scope's version, if it is here. */
    public Optional<byte[]> content(int scope, long version) {
        return subscriptions.get(scope).content(version);
    }

    /** Whether it has learned a stage of each scope. */
    public boolean isReady() {
        return subscriptions.values().stream().allMatch(Subscription::hasLearnedStage);
    }

    /** The replica that it asks now. */
    public int replica() {
        return replicas[replicaIndex];
    }

    /** How often it has migrated to another replica. */
    public long migrations() {
        return migrations;
    }

    /** Datagrams and messages that were malformed, of another tier or scope, or not meant for a client. */
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

    /** Asks at random times, so that sidecars that start together do not ask at the same time. */
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

    /** Takes a datagram of a replica, by its number. */
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
