package loadbalancer.simulation.fuzz;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Makes texts that are nearly right: a few changes to one of a corpus, by bytes, by pieces and by words that matter. */
final class Mutator {
    private static final int MOST = 8_192;
    private final List<byte[]> corpus;
    private final List<byte[]> words;
    private final UniformRandomProvider random;

    Mutator(List<byte[]> corpus, List<byte[]> words, UniformRandomProvider random) {
        this.corpus = corpus;
        this.words = words;
        this.random = random;
    }

    byte[] next() {
        byte[] text = corpus.get(random.nextInt(corpus.size())).clone();
        for (int changes = 1 + random.nextInt(6); changes > 0; changes--) {
            text = change(text);
        }
        return text.length > MOST ? Arrays.copyOf(text, MOST) : text;
    }

    private byte[] change(byte[] text) {
        if (text.length == 0) {
            return words.get(random.nextInt(words.size())).clone();
        }
        int from = random.nextInt(text.length);
        int to = Math.min(text.length, from + 1 + random.nextInt(24));
        byte[] other = corpus.get(random.nextInt(corpus.size()));
        return switch (random.nextInt(8)) {
            case 0 -> {
                text[from] ^= (byte) (1 << random.nextInt(8));
                yield text;
            }
            case 1 -> {
                text[from] = (byte) random.nextInt(256);
                yield text;
            }
            case 2 -> put(text, from, to, new byte[0]);
            case 3 -> put(text, from, from, Arrays.copyOfRange(text, from, to));
            case 4 -> put(text, from, from, words.get(random.nextInt(words.size())));
            case 5 -> put(text, from, to, words.get(random.nextInt(words.size())));
            case 6 -> Arrays.copyOf(text, from);
            default -> put(
                    text, from, text.length, Arrays.copyOfRange(other, Math.min(other.length, from), other.length));
        };
    }

    private static byte[] put(byte[] text, int from, int to, byte[] piece) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(text.length + piece.length);
        out.write(text, 0, from);
        out.write(piece, 0, piece.length);
        out.write(text, to, text.length - to);
        return out.toByteArray();
    }
}
