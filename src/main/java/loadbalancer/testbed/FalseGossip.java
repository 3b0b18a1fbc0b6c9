package loadbalancer.testbed;

import java.util.Arrays;
import java.util.TreeSet;

/**
 * What a sidecar that lies says in place of its words: always well formed and newer than the one before, so that nothing but what upstreams
 * report can tell. It knows no more than what that sidecar has said itself. Pure.
 */
public final class FalseGossip {
    /** Words of what is held begin so, then a turn, then two bytes for each attempt; others pass unchanged. */
    private static final byte TAG = 'H';

    private static final int HEAD = 2, MOST = 256;

    /** What it makes others believe. */
    public enum Lie {
        /** That it holds nothing. */
        IDLE,
        /** That it holds something everywhere where it ever did, and as much as a word can name. */
        FULL,
        /** That it holds what it held when it began to lie. */
        REPLAYED
    }

    private final TreeSet<Integer> ever = new TreeSet<>();
    private byte[] first;

    /** {@code lie} is null while it says what is so. */
    public byte[] of(byte[] word, Lie lie) {
        if (word.length < HEAD || word[0] != TAG) {
            return word;
        }
        for (int i = HEAD; i + 1 < word.length; i += 2) {
            ever.add((word[i] & 255) << 8 | word[i + 1] & 255);
        }
        if (lie == null) {
            first = null;
            return word;
        }
        if (first == null) {
            first = word;
        }
        byte[] said =
                switch (lie) {
                    case IDLE -> new byte[HEAD];
                    case REPLAYED -> first.clone();
                    case FULL -> full();
                };
        said[0] = TAG;
        said[1] = word[1];
        return said;
    }

    private byte[] full() {
        byte[] all = new byte[MOST];
        int n = HEAD;
        while (!ever.isEmpty() && n + 2 <= MOST) {
            for (int mark : ever) {
                if (n + 2 <= MOST) {
                    all[n++] = (byte) (mark >> 8);
                    all[n++] = (byte) mark;
                }
            }
        }
        return Arrays.copyOf(all, n);
    }
}
