package loadbalancer.control;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import java.util.zip.CRC32;

/**
 * Makes changes in a simulated tier, with a random fault before each of them, and summarizes the outcome in one line.
 */
final class ControlFaultRun {
    private static final long SECOND_MICROS = 1_000_000;
    private static final int CHANGES = 8;
    private static final int PARTITION_FAULT = 2;

    private final ControlSimulation simulation;
    private final int scopes;
    private final int replicas;
    private final SplittableRandom random;
    private final StringBuilder latencies = new StringBuilder();
    private final StringBuilder datagrams = new StringBuilder();

    ControlFaultRun(ControlSimulation simulation, int scopes, int replicas, long seed) {
        this.simulation = simulation;
        this.scopes = scopes;
        this.replicas = replicas;
        random = new SplittableRandom(seed);
    }

    /**
     * Runs all changes. Times in the summary are in microseconds; -1 marks a change that not all reachable sidecars
     * adopted within 5 s.
     */
    String run() {
        for (int change = 1; change <= CHANGES; change++) {
            makeChange(change);
        }
        simulation.run(5 * SECOND_MICROS);
        return "datagrams" + datagrams + " " + simulation.datagramsSent() + "; bytes " + simulation.bytesSent() + "; us"
                + latencies + "; ends at " + simulation.nowMicros() + "; leases " + leaseSummary() + "; violations "
                + simulation.violations().size();
    }

    private void makeChange(int change) {
        int affected = random.nextInt(simulation.processCount());
        int partitionStep = random.nextInt(2, 5);
        int fault = random.nextInt(4);
        switch (fault) {
            case 0 -> simulation.kill(affected);
            case 1 -> simulation.pause(affected, random.nextLong(4 * SECOND_MICROS));
            case PARTITION_FAULT -> simulation.partition(number -> number >= replicas && number % partitionStep == 0);
            default -> simulation.setNetwork(new ControlSimulation.Network(0.1, 0.1, 20_000));
        }
        IntPredicate reachable = number -> fault != PARTITION_FAULT || number % partitionStep != 0;
        int replica = affected == 0 ? 1 : 0;
        int scope = random.nextInt(scopes);
        long version = simulation.propose(replica, scope, TestTier.content(change));
        long elapsedMicros =
                simulation.runUntil(() -> simulation.allHaveAdopted(reachable, scope, version), 5 * SECOND_MICROS);
        latencies.append(' ').append(elapsedMicros);
        simulation.start(affected);
        simulation.partition(number -> false);
        simulation.setNetwork(new ControlSimulation.Network(0.02, 0.02, 2_000));
        simulation.run(random.nextLong(2 * SECOND_MICROS));
        datagrams.append(' ').append(simulation.datagramsSent());
    }

    /** Number of valid leases, and a checksum of the versions that they are for. */
    private String leaseSummary() {
        int leases = 0;
        CRC32 checksum = new CRC32();
        for (int number = 0; number < simulation.processCount(); number++) {
            for (int scope = 0; scope < scopes; scope++) {
                if (hasLease(number, scope)) {
                    leases++;
                    long version = simulation.activeStage(number, scope).newVersion();
                    String line = number + " " + scope + " " + version + "\n";
                    checksum.update(line.getBytes(StandardCharsets.US_ASCII));
                }
            }
        }
        return leases + " " + Long.toHexString(checksum.getValue());
    }

    private boolean hasLease(int number, int scope) {
        boolean subscribed = number < replicas || simulation.subscribers(scope).contains(number);
        return subscribed && simulation.activeStage(number, scope).leaseValid();
    }
}
