package rushproxy.accord;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class WordsTest {
    private static final int VOTERS = 7;
    private final Words words = new Words(42, VOTERS);

    private static List<Word> all() {
        List<Life> lives = java.util.stream.IntStream.range(0, VOTERS)
                .mapToObj(i -> new Life(i, -i * 7))
                .toList();
        List<Integer> nonces = List.of(1, 2, 3, -4, 5, Integer.MAX_VALUE, Integer.MIN_VALUE);
        Stage s = new Stage(Long.MAX_VALUE, -1, 77);
        return List.of(
                new Word.Prepare(1, 2),
                new Word.Promise(-1, 9, lives, 8, s, true),
                new Word.Accept(3, 4, s),
                new Word.Accepted(3, 4, 5, lives),
                new Word.Refused(1, 2, 3),
                new Word.Chosen(1, 2, s),
                new Word.Taken(1, 9),
                new Word.Ask(-3),
                new Word.Answer(1, 2, 3, s, false),
                new Word.Back(5),
                new Word.Seen(5, 6),
                new Word.Blank(5, 6),
                new Word.Rejoin(new Life(3, 4)),
                new Word.State(1, new Life(3, 4), lives, 5, 6, s, true),
                new Word.Together(nonces),
                new Word.Agreed(nonces),
                new Word.Propose(5, true),
                new Word.Begun(nonces),
                new Word.Want(5, 2),
                new Word.Piece(5, 2, 700, new byte[Contents.PIECE]),
                new Word.Unfit(5, "no: ä"),
                new Word.Staged(1, 5),
                new Word.Fit(1, 5));
    }

    @Test
    void eachComesBackAsItWasAndFitsADatagram() {
        for (Word w : all()) {
            byte[] bytes = words.bytes(w);
            assertTrue(bytes.length <= Words.MOST && Words.isWord(bytes), w + ": " + bytes.length);
            assertEquals(w, words.read(bytes));
        }
        assertEquals(Word.class.getPermittedSubclasses().length, all().size());
    }

    /** Of another fleet, cut, lengthened, with any byte changed, or nothing but chance: none of it is a word. */
    @Test
    void whatIsNoWordIsNone() {
        SplittableRandom random = new SplittableRandom(3);
        for (Word w : all()) {
            byte[] bytes = words.bytes(w);
            assertNull(new Words(43, VOTERS).read(bytes));
            for (int n = 0; n < bytes.length; n++) {
                assertNull(words.read(Arrays.copyOf(bytes, n)));
                byte[] changed = bytes.clone();
                changed[n] ^= (byte) (1 + random.nextInt(255));
                assertNull(words.read(changed), w + " at " + n);
            }
            assertNull(words.read(Arrays.copyOf(bytes, bytes.length + 1)));
        }
        for (int i = 0; i < 20_000; i++) {
            byte[] any = new byte[random.nextInt(300)];
            random.nextBytes(any);
            assertNull(words.read(any));
        }
    }
}
