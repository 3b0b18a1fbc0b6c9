package loadbalancer.sidecar;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import loadbalancer.consensus.ActiveStage;
import loadbalancer.core.Clock;
import loadbalancer.core.Log;
import loadbalancer.core.Timers;
import loadbalancer.operator.PolicyFile;
import loadbalancer.operator.PolicyFile.ZonePolicy;
import loadbalancer.toml.ConfigurationException;

/**
 * Follows and proposes changes of the agreed zone policy. Requests never wait for it: the listener gets each new policy
 * to apply. Event loop only; times are microseconds of {@link Clock}.
 */
public final class AgreedConfiguration {
    /** Longest time between two ticks, and so the longest time until an expired lease is noticed. */
    private static final long MAX_TICK_INTERVAL_MICROS = 50_000;

    private static final long MIN_TICK_INTERVAL_MICROS = 1_000;

    private final Timers timers;
    private final Clock clock;
    private final List<String> zones;
    private final Consumer<ZonePolicy> policyListener;
    private final ConfigurationSource source;
    private final List<Runnable> learnedTasks = new ArrayList<>();
    private ActiveStage lastStage;
    private long stageSinceMicros;
    private boolean tickScheduled;

    /**
     * @param zones          zones that a policy may name; empty for any
     * @param policyListener gets the policy to apply from now on; null stands for this sidecar's own operator's
     *     file, which applies at the start
     */
    AgreedConfiguration(
            Timers timers,
            Clock clock,
            List<String> zones,
            ConfigurationSource.Factory sourceFactory,
            Consumer<ZonePolicy> policyListener) {
        this.timers = timers;
        this.clock = clock;
        this.zones = zones;
        this.policyListener = policyListener;
        source = sourceFactory.create(this::contentError);
        stageSinceMicros = clock.nowMicros();
    }

    /** Why the content is no valid policy; null where it is valid. */
    private String contentError(byte[] content) {
        try {
            PolicyFile.read(content, zones);
            return null;
        } catch (ConfigurationException exception) {
            return exception.getMessage();
        }
    }

    void start() {
        tick();
    }

    private void tick() {
        tickScheduled = false;
        source.tick(clock.nowMicros());
        applyActiveStage();
    }

    private void scheduleTick() {
        if (!tickScheduled) {
            tickScheduled = true;
            timers.schedule(
                    Math.max(
                            MIN_TICK_INTERVAL_MICROS,
                            Math.min(MAX_TICK_INTERVAL_MICROS, source.nextTickMicros() - clock.nowMicros())),
                    this::tick);
        }
    }

    /** Handles a datagram from the fleet member or replica with this number. */
    void receive(int from, byte[] datagram) {
        source.receive(clock.nowMicros(), from, datagram);
        applyActiveStage();
    }

    /** Runs the task once this sidecar has learned the active version, or that there is none. */
    void onceLearned(Runnable task) {
        if (source.hasLearned()) {
            task.run();
        } else {
            learnedTasks.add(task);
        }
    }

    /** Applies and logs the active stage if a message or the clock alone has changed it. */
    private void applyActiveStage() {
        scheduleTick();
        ActiveStage stage = source.activeStage(clock.nowMicros());
        if (source.hasLearned() && !learnedTasks.isEmpty()) {
            List<Runnable> tasks = new ArrayList<>(learnedTasks);
            learnedTasks.clear();
            tasks.forEach(Runnable::run);
        }
        if (stage.equals(lastStage)) {
            return;
        }
        ActiveStage previousStage = lastStage;
        lastStage = stage;
        stageSinceMicros = clock.nowMicros();
        boolean versionsChanged = previousStage == null
                || previousStage.oldVersion() != stage.oldVersion()
                || previousStage.newVersion() != stage.newVersion();
        if (versionsChanged && source.hasLearned()) {
            ZonePolicy from = policy(stage.oldVersion());
            ZonePolicy to = policy(stage.newVersion());
            if (to != null || previousStage != null && previousStage.newVersion() != stage.newVersion()) {
                policyListener.accept(stage.isJoint() && from != null ? from.strictestWith(to) : to);
            }
        }
        if (source.hasLearned()) {
            logStage(
                    stage,
                    previousStage == null
                            || previousStage.era() != stage.era()
                            || previousStage.index() != stage.index());
        }
    }

    private void logStage(ActiveStage stage, boolean isNewStage) {
        String to = versionName(stage.newVersion());
        if (!stage.leaseValid()) {
            // A paused process notices the expired lease late, but has made no routing decisions in the meantime.
            logStage(
                    "policy.careful",
                    "may have missed a change of policy: goes on by " + to + " until it hears a majority",
                    stage,
                    "ago_ms",
                    (clock.nowMicros() - source.leaseExpiryMicros()) / 1000);
        } else if (stage.isJoint()) {
            logStage(
                    "policy.joint",
                    "policy " + versionName(stage.oldVersion()) + " and " + to + " go together: the stricter of both",
                    stage);
        } else if (isNewStage) {
            logStage("policy.settled", "policy " + to + " is in force", stage);
        } else {
            logStage("policy.sure", "sure again that policy " + to + " is in force", stage);
        }
    }

    /** Logs the fields that {@code policy audit} reads. */
    private static void logStage(String event, String text, ActiveStage stage, Object... extraFields) {
        List<Object> fields = new ArrayList<>(List.of(
                "era",
                Long.toHexString(stage.era()),
                "index",
                stage.index(),
                "from",
                versionName(stage.oldVersion()),
                "version",
                versionName(stage.newVersion())));
        fields.addAll(List.of(extraFields));
        Log.event(event, text, fields.toArray());
    }

    /** The policy of a version; null for version 0, which stands for the operator's file. */
    private ZonePolicy policy(long version) {
        byte[] content = source.content(version);
        try {
            return content == null ? null : PolicyFile.read(content, zones);
        } catch (ConfigurationException exception) {
            throw new IllegalStateException(
                    "a policy that passed validation is invalid now: " + exception.getMessage());
        }
    }

    /** A version as it appears in logs and in the status. */
    static String versionName(long version) {
        return version == 0 ? "none" : Long.toHexString(version);
    }

    /** Proposes a policy; returns why it can't be proposed, or null. */
    String propose(byte[] content) {
        if (source.isProposalPending()) {
            return "a change is under way: see its status, or take it back";
        }
        String error = source.propose(clock.nowMicros(), content);
        Log.event(
                "policy.proposed",
                error == null
                        ? "a policy of " + content.length + " bytes is proposed"
                        : "the policy can't be proposed: " + error);
        applyActiveStage();
        return error;
    }

    /** Rolls back the unfinished change; returns why that is impossible, or null. */
    String abort() {
        String error = source.abort(clock.nowMicros());
        Log.event("policy.abort", error == null ? "the unfinished change is to be rolled back" : error);
        applyActiveStage();
        return error;
    }

    Map<String, Object> status() {
        ActiveStage stage = source.activeStage(clock.nowMicros());
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("learnt", source.hasLearned());
        status.put("sure", stage.leaseValid());
        status.put("version", versionName(stage.newVersion()));
        status.put("from", versionName(stage.oldVersion()));
        status.put("joint", stage.isJoint());
        status.put("since_ms", (clock.nowMicros() - stageSinceMicros) / 1000);
        status.put("open", source.isProposalPending());
        status.put("refused", source.rejectionReason() == null ? "" : source.rejectionReason());
        status.put(
                "missing",
                source.awaitedMembers().stream()
                        .boxed()
                        .map(i -> (Object) (long) i)
                        .toList());
        status.put("messages_dropped", source.droppedMessages());
        return status;
    }
}
