package loadbalancer.sidecar;

import java.net.BindException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import loadbalancer.core.Log;
import loadbalancer.operator.ConsensusOptions;
import loadbalancer.operator.OperatorConfiguration;
import loadbalancer.toml.ConfigurationException;

/**
 * Entry point of one sidecar process: reads its files, starts the sidecar, warms it up, and serves until a signal ends
 * it.
 */
public final class SidecarMain {
    /** Exit code where an invalid configuration or an address in use prevents the start. */
    private static final int EXIT_CONFIGURATION = 2;

    private static final int EXIT_START_FAILED = 1;

    private final ShutdownHook shutdownHook = new ShutdownHook();
    private final Reload reload;
    private final Map<String, String> environment;
    private final OperatorConfigurationReader operatorReader;

    private SidecarMain(Map<String, String> environment, OperatorConfigurationReader operatorReader) {
        this.environment = environment;
        this.operatorReader = operatorReader;
        reload = new Reload(environment, operatorReader);
    }

    /** Reads the operator's file, if there is one. */
    public interface OperatorConfigurationReader {
        /** The file's content, or {@link OperatorConfiguration#NONE} without a file. */
        OperatorConfiguration read() throws ConfigurationException;
    }

    /**
     * Runs one sidecar until a signal ends the process.
     *
     * @return the exit code, if the start failed; otherwise the shutdown hook ends the process
     */
    public static int serve(Map<String, String> environment, OperatorConfigurationReader operatorReader)
            throws InterruptedException {
        return new SidecarMain(environment, operatorReader).run();
    }

    private int run() throws InterruptedException {
        SidecarConfig config;
        OperatorConfiguration operator;
        try {
            config = SidecarConfig.read(environment);
            operator = operatorReader.read();
        } catch (SidecarConfig.InvalidConfigException | ConfigurationException exception) {
            return rejectStart(exception.getMessage());
        }
        Log.setJsonOutput(operator.jsonLog());
        Handover handover = Handover.forEnvironment(environment, config);
        Optional<String> conflict = operator.consensus() == null
                ? Optional.empty()
                : consensusConflict(operator.consensus(), config, handover);
        if (conflict.isPresent()) {
            return rejectStart("operator's file: [consensus] " + conflict.get());
        }
        Sidecar sidecar;
        try {
            sidecar = new Sidecar(
                    config,
                    operator,
                    handover == null ? Engine.balancer(operator) : Engine.balancer(operator, handover::restrict),
                    handover);
        } catch (IllegalArgumentException exception) {
            // Each file is valid by itself; together they are not.
            return rejectStart("operator's file: " + exception.getMessage());
        }
        return serve(sidecar, config, operator);
    }

    private int serve(Sidecar sidecar, SidecarConfig config, OperatorConfiguration operator)
            throws InterruptedException {
        WarmUp warmUp = new WarmUp(config, Engine.balancer(operator));
        sidecar.startWarmUp(warmUp::interrupt);
        shutdownHook.sidecarStarting(sidecar);
        try {
            sidecar.start();
        } catch (Exception exception) { // Netty throws checked exceptions that it doesn't declare.
            return reportStartFailure(sidecar, exception);
        }
        shutdownHook.sidecarStarted();
        if (sidecar.listenAddress() != null) {
            sidecar.logListenAddress();
        } else {
            Log.event(
                    "handover.begun",
                    config.name() + " takes over: it listens once it is ready, while the former process still serves");
        }
        reload.sidecarStarted(sidecar, config);
        long startNanos = System.nanoTime();
        long cpuMillis = CpuTime.usedMillis();
        warmUp.run();
        try {
            sidecar.endWarmUp();
        } catch (Exception exception) { // Netty's checked exceptions, as above.
            return reportStartFailure(sidecar, exception);
        }
        logReady((System.nanoTime() - startNanos) / 1_000_000, cpuMillis, CpuTime.usedMillis());
        new CountDownLatch(1).await();
        return 0;
    }

    /** Logs elapsed and CPU time, which together show whether a slow start had too much work or too little CPU. */
    private static void logReady(long warmUpMillis, long cpuBeforeMillis, long cpuMillis) {
        String cpu = cpuMillis < 0
                ? ""
                : "; CPU since the start " + cpuMillis + " ms, of it " + (cpuMillis - cpuBeforeMillis)
                        + " ms for the rehearsal";
        Log.event("ready", "ready after a rehearsal of " + warmUpMillis + " ms" + cpu);
    }

    /** Why this sidecar can't take part in consensus; empty if it can. */
    private static Optional<String> consensusConflict(
            ConsensusOptions consensus, SidecarConfig config, Handover handover) {
        int sidecarCount = config.settings().sidecarCount();
        if (config.peerListen() == null || config.peers().size() < sidecarCount) {
            return Optional.of("needs gossip between all sidecars: expected peer_listen, and peers with " + sidecarCount
                    + " addresses");
        }
        if (handover != null) {
            return Optional.of("allows only one process of a sidecar at a time: TMPDIR must be empty");
        }
        if (consensus.voters() > sidecarCount) {
            return Optional.of("voters: expected at most the " + sidecarCount + " sidecars that there are, found "
                    + consensus.voters());
        }
        return Optional.empty();
    }

    private int rejectStart(String reason) {
        Log.event("start.refused", reason);
        return shutdownHook.startFailed(EXIT_CONFIGURATION);
    }

    private int reportStartFailure(Sidecar sidecar, Exception exception) {
        sidecar.abortStart();
        if (exception instanceof BindException) {
            return rejectStart("an address can't be listened on: " + exception.getMessage());
        }
        Log.event("start.failed", "can't start: " + exception);
        return shutdownHook.startFailed(EXIT_START_FAILED);
    }
}
