package loadbalancer.sidecar;

import io.netty.channel.EventLoop;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.Consumer;
import loadbalancer.balancing.Balancer.Settings;
import loadbalancer.balancing.RoutingConstraints;
import loadbalancer.core.Clock;
import loadbalancer.core.Log;
import loadbalancer.core.SharedExecutions;
import loadbalancer.handover.HandoverFolder;
import loadbalancer.handover.SlowStartOwnership;
import loadbalancer.membership.OutOfServiceUpstreams;

/**
 * Coordinates this process with another process of the same sidecar during an upgrade: they share the out-of-service
 * upstreams, and only one uses upstreams in slow start.
 */
final class Handover {
    private final HandoverFolder folder;
    private final SlowStartOwnership slowStartOwnership;
    private final boolean onlyProcess;
    private final SharedExecutions executedIds;
    private EventLoop loop;
    private Clock clock;
    private EndpointService endpoints;

    Handover(HandoverFolder folder, Settings settings) {
        this.folder = folder;
        slowStartOwnership = new SlowStartOwnership(settings.rules().overloadWindowMicros());
        onlyProcess = folder.open();
        executedIds = folder.openExecutedIds();
        if (!onlyProcess) {
            slowStartOwnership.assignToOtherProcess();
        }
    }

    /** Null without an admin address or a writable TMPDIR: then only one process runs at a time. */
    static Handover forEnvironment(Map<String, String> environment, SidecarConfig config) {
        String folder = environment.getOrDefault("TMPDIR", "");
        if (config.adminAddress() == null || folder.isEmpty()) {
            return null;
        }
        try {
            Path path = Path.of(folder);
            if (Files.isDirectory(path) && Files.isWritable(path)) {
                return new Handover(new HandoverFolder(path, config.name()), config.settings());
            }
        } catch (InvalidPathException exception) {
            // Same as a missing folder.
        }
        Log.event(
                "handover.none",
                "TMPDIR is not a writable folder: out-of-service upstreams are forgotten when this process ends, and no other process can take over");
        return null;
    }

    /** Ids that may have run at either process. */
    SharedExecutions executedIds() {
        return executedIds;
    }

    /** Whether no other process of this sidecar ran at the start. */
    boolean onlyProcess() {
        return onlyProcess;
    }

    RoutingConstraints restrict(RoutingConstraints constraints, Settings settings) {
        return slowStartOwnership.restrict(constraints, settings.rules().slowStartMicros());
    }

    /** Called on the event loop, before the endpoint service starts. */
    void start(EventLoop eventLoop, Clock sidecarClock, EndpointService endpointService) {
        loop = eventLoop;
        clock = sidecarClock;
        endpoints = endpointService;
        endpoints.restoreOutOfService(folder.read());
        folder.watch(
                snapshot -> loop.execute(() -> endpoints.applyOutOfService(snapshot)),
                () -> loop.execute(slowStartOwnership::onOtherProcessEnded));
    }

    void onReady(long nowMicros) {
        slowStartOwnership.onReady(nowMicros);
    }

    /**
     * Records that an upstream was taken out of service or back in this process; {@code done} runs on the event loop
     * once it is recorded.
     */
    void recordOutOfService(String id, boolean out, Consumer<OutOfServiceUpstreams.Snapshot> done) {
        long nowMicros = clock.nowMicros();
        folder.write(
                snapshot -> OutOfServiceUpstreams.withChange(snapshot, nowMicros, id, out),
                snapshot -> loop.execute(() -> done.accept(snapshot)));
    }

    /**
     * Whether a newer process serves, which from then on alone uses upstreams in slow start. Called at SIGTERM, from
     * any thread but the event loop.
     */
    boolean hasSuccessor() {
        boolean hasSuccessor = folder.hasSuccessor();
        if (hasSuccessor) {
            loop.execute(slowStartOwnership::assignToOtherProcess);
        }
        return hasSuccessor;
    }

    void close() {
        folder.close();
    }
}
