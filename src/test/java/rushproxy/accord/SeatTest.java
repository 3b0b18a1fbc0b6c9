package rushproxy.accord;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Three seats whose words are handed over one by one. */
class SeatTest {
    private record Sent(int from, int to, Word word) {}

    private final List<Sent> words = new ArrayList<>();
    private final Seat[] seats = new Seat[3];
    private int lives;

    private void begin(Rules rules) {
        for (int i = 0; i < seats.length; i++) {
            restart(i, rules);
        }
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < seats.length; i++) {
                seats[i].renew(0, out(i));
            }
            hand(s -> true);
        }
    }

    private void restart(int i, Rules rules) {
        seats[i] = new Seat(new Group(3, 3, 4, 4), rules, i, ++lives);
    }

    private Voter.Out out(int from) {
        return (to, word) -> words.add(new Sent(from, to, word));
    }

    /** Hands over these and what follows from them; the others stay under way. */
    private void hand(java.util.function.Predicate<Sent> which) {
        for (int i = 0; i < words.size(); ) {
            if (which.test(words.get(i))) {
                Sent s = words.remove(i);
                seats[s.to].hear(0, s.from, s.word, out(s.to));
                i = 0;
            } else {
                i++;
            }
        }
    }

    /** One accepts, forgets it, and comes back before anybody else has accepted: its word of before must not make a majority. */
    private Stage acceptedByAnEarlierLife(Rules rules) {
        begin(rules);
        seats[0].lead(0, 1, false, out(0));
        hand(s -> !(s.word instanceof Word.Accept a && a.stage().index() == 1));
        hand(s -> s.to == 2 && s.word instanceof Word.Accept || s.to == 0 && s.word instanceof Word.Accepted);
        restart(2, rules);
        for (int round = 0; round < 2; round++) {
            seats[2].voter().comeBack(0, out(2));
            hand(s -> !(s.word instanceof Word.Accept));
        }
        assertTrue(seats[2].voter().active());
        assertEquals(0, seats[2].voter().accepted().index(), "what it had accepted is forgotten");
        hand(s -> s.to == 0 && s.word instanceof Word.Accept || s.to == 0 && s.word instanceof Word.Accepted);
        return seats[0].leader().chosen();
    }

    @Test
    void anEarlierLifesWordMakesNoMajority() {
        assertEquals(0, acceptedByAnEarlierLife(Rules.ALL).index());
        words.clear();
        assertEquals(
                1,
                acceptedByAnEarlierLife(new Rules(true, false, true, true, true, true))
                        .index());
    }

    @Test
    void whoRemembersNothingVotesForNothing() {
        begin(Rules.ALL);
        restart(1, Rules.ALL);
        assertFalse(seats[1].lead(0, 1, false, out(1)));
        seats[1].hear(0, 0, new Word.Prepare(seats[0].voter().era(), 99), out(1));
        assertTrue(words.isEmpty());
        assertNull(seats[1].holder().stage(0));
    }

    @Test
    void aLeaseEndsByTheClockAlone() {
        begin(Rules.ALL);
        assertEquals(Stage.FIRST, seats[2].holder().stage(3));
        assertNull(seats[2].holder().stage(4));
        assertEquals(Stage.FIRST, seats[2].holder().last());
    }

    /** What was staged and not yet finished can be taken back; then all go by what was before. */
    @Test
    void whatIsOpenCanBeTakenBack() {
        begin(Rules.ALL);
        seats[0].lead(0, 1, false, out(0));
        hand(s -> !(s.word instanceof Word.Taken t && t.index() == 1));
        assertTrue(seats[1].holder().last().joint());
        words.clear();
        seats[1].lead(0, Stage.NONE, true, out(1));
        hand(s -> true);
        for (Seat s : seats) {
            assertEquals(new Stage(2, 0, 0), s.holder().stage(0));
        }
    }
}
