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
import loadbalancer.handover.HandoverFolder;
import loadbalancer.handover.SlowStartOwnership;
import loadbalancer.membership.OutOfServiceUpstreams;

/** One process's part in an upgrade with two processes of a sidecar: the shared state, and which process uses upstreams in slow start. */
final class Handover {
    private final HandoverFolder folder;
    private final SlowStartOwnership slowStartOwnership;
    private final boolean onlyProcess;
    private EventLoop loop;
    private Clock clock;
    private EndpointService endpoints;

    Handover(HandoverFolder notebook, Settings settings) {
        this.folder = notebook;
        slowStartOwnership = new SlowStartOwnership(settings.rules().overloadWindowMicros());
        onlyProcess = notebook.open();
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
                "handover.none", "TMPDIR is no folder that can be written to: bans and upgrades end with this process");
        return null;
    }

    /** Whether no other process of this sidecar ran at the start. */
    boolean onlyProcess() {
        return onlyProcess;
    }

    RoutingConstraints restrict(RoutingConstraints rest, Settings settings) {
        return slowStartOwnership.restrict(rest, settings.rules().slowStartMicros());
    }

    /** On the event loop, before the endpoint service starts. */
    void start(EventLoop on, Clock with, EndpointService of) {
        loop = on;
        clock = with;
        endpoints = of;
        endpoints.restoreOutOfService(folder.read());
        folder.watch(
                kept -> loop.execute(() -> endpoints.outOfService(kept)),
                () -> loop.execute(slowStartOwnership::onOtherProcessEnded));
    }

    void onReady(long nowMicros) {
        slowStartOwnership.onReady(nowMicros);
    }

    /** Records that an upstream is out of service or back, as it is in this process; {@code done} runs on the event loop once it is recorded. */
    void recordOutOfService(String id, boolean out, Consumer<OutOfServiceUpstreams.Snapshot> done) {
        long nowMicros = clock.nowMicros();
        folder.write(
                kept -> OutOfServiceUpstreams.withChange(kept, nowMicros, id, out),
                kept -> loop.execute(() -> done.accept(kept)));
    }

    /** At SIGTERM, from any thread but the event loop: whether a newer process serves, which then alone uses upstreams in slow start. */
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
