package loadbalancer.testbed.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import loadbalancer.testbed.FalseGossip;

/**
 * What becomes of each word between sidecars: how late it arrives, how often, and whether its bytes are what was said. By pair and
 * direction, so that one side may hear and not be heard. Pure; the same seed and the same words meet the same fates.
 */
final class GossipLinks {
    /** @param delaysUs one for each time that it arrives; empty where it is lost */
    record Fate(long[] delaysUs, byte[] bytes) {}

    private static final Fate LOST = new Fate(new long[0], new byte[0]);

    private final SplittableRandom random;
    private final Set<Long> cut = new HashSet<>();
    /** What each has said, for the day on which it lies. */
    private final Map<Integer, FalseGossip> falsehoods = new HashMap<>();

    private final Map<Integer, FalseGossip.Lie> lies = new HashMap<>();
    private long delayUs;
    private double loss;
    private double doubles;
    private double garbled;
    private long words;
    private long bytes;
    private long lost;

    GossipLinks(long seed) {
        random = new SplittableRandom(seed);
    }

    /** On the average; each word's own is drawn from 0.3 to 1.7 of it, so that words overtake each other. */
    void delay(long us) {
        delayUs = us;
    }

    /** Parts of the words, from 0 to 1, that are lost, arrive twice, or have a byte changed. */
    void trouble(double lose, double twice, double garble) {
        loss = lose;
        doubles = twice;
        garbled = garble;
    }

    /** Nothing that {@code from} says reaches {@code to}, or it does again; the other direction is as it was. */
    void cut(int from, int to, boolean now) {
        long pair = (long) from << 32 | to;
        if (now) {
            cut.add(pair);
        } else {
            cut.remove(pair);
        }
    }

    /** What it says is replaced by this from now on; null: no more. */
    void lies(int from, FalseGossip.Lie lie) {
        lies.put(from, lie);
    }

    Fate of(int from, int to, byte[] word) {
        words++;
        bytes += word.length;
        if (cut.contains((long) from << 32 | to) || loss > 0 && random.nextDouble() < loss) {
            lost++;
            return LOST;
        }
        byte[] said = falsehoods.computeIfAbsent(from, f -> new FalseGossip()).of(word, lies.get(from));
        if (garbled > 0 && word.length > 0 && random.nextDouble() < garbled) {
            said = said.clone();
            said[random.nextInt(said.length)] ^= (byte) (1 + random.nextInt(255));
        }
        long[] delays = new long[doubles > 0 && random.nextDouble() < doubles ? 2 : 1];
        for (int i = 0; i < delays.length; i++) {
            delays[i] = delayUs == 0 ? 0 : (long) (delayUs * (0.3 + 1.4 * random.nextDouble()));
        }
        return new Fate(delays, said);
    }

    /** Words that were said, each to one; {@link #bytes} of them, {@link #lost} of them. */
    long words() {
        return words;
    }

    long bytes() {
        return bytes;
    }

    long lost() {
        return lost;
    }
}
