package loadbalancer.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Soak test on a {@link ConsensusSimulation}: proposes changes while members, voters included, crash, restart, pause
 * and are partitioned, and messages are lost and duplicated. At the end all members run and are connected. The same
 * seed gives the same result.
 */
public final class ConsensusSoak {
    private static final long SECOND_MICROS = 1_000_000;
    private static final int STEPS = 25;
    private static final int NO_MEMBER = -1;

    private final ConsensusSimulation simulation;
    private final int voters;
    private final int members;
    private final SplittableRandom random;
    private int crashedMember = NO_MEMBER;

    private ConsensusSoak(int voters, int members, long leaseMicros, long seed) {
        this.voters = voters;
        this.members = members;
        random = new SplittableRandom(seed);
        simulation = new ConsensusSimulation(voters, members, leaseMicros, seed);
        simulation.setNetwork(0.05, 0.05, 5_000);
    }

    /** Runs one soak test. Returns a description of each violated invariant. */
    public static List<String> run(int voters, int members, long leaseMicros, long seed) {
        return new ConsensusSoak(voters, members, leaseMicros, seed).run();
    }

    private List<String> run() {
        simulation.run(5 * SECOND_MICROS);
        for (int step = 0; step < STEPS; step++) {
            injectFaultOrPropose();
            simulation.run(random.nextLong(2 * SECOND_MICROS));
        }
        if (crashedMember != NO_MEMBER) {
            simulation.start(crashedMember);
        }
        simulation.partition(member -> false);
        simulation.run(30 * SECOND_MICROS);
        return violations();
    }

    private void injectFaultOrPropose() {
        int selected = random.nextInt(members);
        int running = selected == crashedMember ? (selected + 1) % members : selected;
        switch (random.nextInt(6)) {
            case 0 -> crash(selected);
            case 1 -> simulation.pause(running, random.nextLong(10 * SECOND_MICROS));
            case 2 -> {
                int first = 1 + random.nextInt(members - 1);
                simulation.partition(member -> member >= first);
            }
            case 3 -> simulation.partition(member -> false);
            default -> simulation.propose(running, new byte[] {(byte) random.nextInt(3)});
        }
    }

    private void crash(int member) {
        if (crashedMember != NO_MEMBER) {
            simulation.start(crashedMember);
            simulation.run(2 * SECOND_MICROS);
        }
        simulation.kill(member);
        crashedMember = member;
    }

    /**
     * If a majority of the voters has lost its state, one after the other during a partition, the group can't decide
     * anything any more, so adoption is checked only if a majority has its state.
     */
    private List<String> violations() {
        List<String> violations = new ArrayList<>(simulation.violations());
        long version = simulation.activeStage(0).newVersion();
        boolean majorityIsActive = 2 * simulation.activeVoters() > voters;
        if (majorityIsActive && !simulation.allHaveAdopted(member -> true, version)) {
            violations.add("EVERYWHERE_OR_NOWHERE: not all members have adopted " + version + " at the end; "
                    + simulation.activeVoters() + " active voters");
        }
        return violations;
    }
}
