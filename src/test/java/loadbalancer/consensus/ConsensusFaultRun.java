package loadbalancer.consensus;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import java.util.zip.CRC32;

/** Makes changes in a simulated group, with a random fault before each of them, and sums up what the simulation counts. */
final class ConsensusFaultRun {
    private static final long SECOND_MICROS = 1_000_000;
    private static final int CHANGES = 8;
    private static final int PARTITION = 2;

    private final ConsensusSimulation simulation;
    private final int members;
    private final SplittableRandom random;
    private final StringBuilder times = new StringBuilder();

    ConsensusFaultRun(ConsensusSimulation simulation, int members, long seed) {
        this.simulation = simulation;
        this.members = members;
        random = new SplittableRandom(seed);
    }

    private static byte[] content(int number) {
        return ("policy " + number + "\n").repeat(100).getBytes(StandardCharsets.UTF_8);
    }

    /** Times are in microseconds; -1 stands for a change that not all reachable members adopted within 6 s. */
    String play() {
        times.append(simulation.runUntil(() -> simulation.allHaveAdopted(member -> true, 0), 10 * SECOND_MICROS));
        for (int change = 1; change <= CHANGES; change++) {
            makeChange(change);
        }
        simulation.run(10 * SECOND_MICROS);
        return "messages " + simulation.sentMessages() + "; bytes " + simulation.sentBytes() + "; us " + times
                + "; joint us "
                + simulation.longestJointMicros() + "; voters that remember " + simulation.votersWithMemory()
                + "; versions " + adoptedChecksum() + "; breaches "
                + simulation.violations().size();
    }

    private void makeChange(int change) {
        int affected = random.nextInt(members);
        int proposer = (affected + 1) % members;
        int firstCut = 1 + random.nextInt(members - 1);
        int fault = random.nextInt(4);
        switch (fault) {
            case 0 -> simulation.kill(affected);
            case 1 -> simulation.pause(affected, random.nextLong(4 * SECOND_MICROS));
            case PARTITION -> simulation.partition(member -> member >= firstCut);
            default -> simulation.setNetwork(0.1, 0.1, 20_000);
        }
        IntPredicate reachable =
                member -> (fault > 1 || member != affected) && (fault != PARTITION || member < firstCut);
        long version = simulation.propose(proposer, content(change));
        long elapsedMicros =
                simulation.runUntil(() -> simulation.allHaveAdopted(reachable, version), 6 * SECOND_MICROS);
        times.append(' ').append(elapsedMicros);
        if (fault == 0) {
            simulation.start(affected);
        }
        simulation.partition(member -> false);
        simulation.setNetwork(0.05, 0.05, 5_000);
        simulation.run(random.nextLong(3 * SECOND_MICROS));
    }

    /** Of the number of the change that each member has adopted. */
    private String adoptedChecksum() {
        CRC32 checksum = new CRC32();
        for (int member = 0; member < members; member++) {
            int adopted = -1;
            for (int change = 0; change <= CHANGES; change++) {
                long version = change == 0 ? 0 : ContentStore.versionOf(content(change));
                adopted = simulation.hasAdopted(member, version) ? change : adopted;
            }
            checksum.update(adopted);
        }
        return Long.toHexString(checksum.getValue());
    }
}
