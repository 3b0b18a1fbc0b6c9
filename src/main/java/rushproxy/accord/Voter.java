package rushproxy.accord;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.function.LongPredicate;

/**
 * One vote: what it has promised and accepted, and how a process that has forgotten both comes back without breaking either
 * (Viewstamped Replication Revisited, 2012, with lives counted). Pure.
 */
final class Voter {
    /** Says a word to a sidecar by its number; to itself too. */
    interface Out {
        void say(int to, Word word);
    }

    private final Group group;
    private final Rules rules;
    private final int me;
    private final int nonce;
    /** Whether what a version says is here, and can be taken: for nothing else is voted. */
    private final LongPredicate has;

    private boolean active;
    private long era;
    private Life[] lives;
    private long promised;
    private long acceptedBallot;
    private Stage accepted = Stage.FIRST;
    private boolean known;
    private long knownAt;

    /** Of coming back: counts told by number, -1 where none; others' nonces where they are as blank; then who has told its state. */
    private final int[] counts;

    private final int[] blanks;
    private Life next;
    private final Word.State[] states;
    private List<Integer> together;
    private int agreed;
    /** With whom it began where nobody remembered anything; null where it came back to others. */
    private List<Integer> begun;

    Voter(Group group, Rules rules, int me, int nonce, LongPredicate has) {
        this.has = has;
        this.group = group;
        this.rules = rules;
        this.me = me;
        this.nonce = nonce;
        lives = new Life[group.voters()];
        Arrays.fill(lives, Life.UNKNOWN);
        counts = new int[group.voters()];
        Arrays.fill(counts, -1);
        blanks = new int[group.voters()];
        states = new Word.State[group.voters()];
        if (!rules.recovers()) {
            active = true;
            lives[me] = new Life(1, nonce);
        }
    }

    private Voter(Voter o) {
        group = o.group;
        rules = o.rules;
        me = o.me;
        nonce = o.nonce;
        has = o.has;
        active = o.active;
        era = o.era;
        lives = o.lives.clone();
        promised = o.promised;
        acceptedBallot = o.acceptedBallot;
        accepted = o.accepted;
        known = o.known;
        knownAt = o.knownAt;
        counts = o.counts.clone();
        blanks = o.blanks.clone();
        next = o.next;
        states = o.states.clone();
        together = o.together;
        agreed = o.agreed;
        begun = o.begun;
    }

    Voter copy() {
        return new Voter(this);
    }

    boolean active() {
        return active;
    }

    long era() {
        return era;
    }

    Stage accepted() {
        return accepted;
    }

    boolean known() {
        return known;
    }

    /** By its own clock, when it has known at the latest that its stage is chosen; only where it is {@link #known}. */
    long knownAt() {
        return knownAt;
    }

    long promised() {
        return promised;
    }

    List<Life> lives() {
        return List.of(lives);
    }

    /** Asks the others again for what it still needs to come back; nothing once it votes. */
    void comeBack(long now, Out out) {
        if (active) {
            return;
        }
        if (group.voters() == 1) {
            begin(now, List.of(nonce));
            return;
        }
        Word word = next != null
                ? new Word.Rejoin(next)
                : together != null ? new Word.Together(together) : new Word.Back(nonce);
        others(out, word);
        if (word instanceof Word.Back) {
            return;
        }
        // Who was blank may have come back otherwise meanwhile, and one that has told its state may be another life:
        // asked anew as well.
        others(out, new Word.Back(nonce));
    }

    private void others(Out out, Word word) {
        for (int v = 0; v < group.voters(); v++) {
            if (v != me) {
                out.say(v, word);
            }
        }
    }

    void hear(long now, int from, Word word, Out out) {
        if (from >= group.voters() && !(word instanceof Word.Ask)) {
            return;
        }
        if (word instanceof Word.Prepare p) {
            prepare(from, p, out);
        } else if (word instanceof Word.Accept a) {
            accept(from, a, out);
        } else if (word instanceof Word.Chosen c) {
            chosen(now, c);
        } else if (word instanceof Word.Ask a && active) {
            out.say(from, new Word.Answer(era, a.nonce(), acceptedBallot, accepted, known));
        } else if (word instanceof Word.Back b) {
            back(from, b, out);
        } else if (word instanceof Word.Seen s) {
            seen(from, s, out);
        } else if (word instanceof Word.Blank b) {
            blank(from, b, out);
        } else if (word instanceof Word.Rejoin r) {
            rejoin(from, r, out);
        } else if (word instanceof Word.State s) {
            state(now, from, s);
        } else if (word instanceof Word.Together t) {
            together(from, t, out);
        } else if (word instanceof Word.Agreed a) {
            agreed(now, from, a);
        } else if (word instanceof Word.Begun b && !active && b.nonces().get(me) == nonce) {
            // It has never voted in this life, so where all that vote began it may begin too.
            begin(now, b.nonces());
        }
    }

    private void prepare(int from, Word.Prepare p, Out out) {
        if (!active || p.era() != era) {
            return;
        }
        // The same again: its answer was lost.
        if (p.ballot() >= promised) {
            promised = p.ballot();
            out.say(from, new Word.Promise(era, promised, lives(), acceptedBallot, accepted, known));
        } else {
            out.say(from, new Word.Refused(era, p.ballot(), promised));
        }
    }

    private void accept(int from, Word.Accept a, Out out) {
        if (!active || a.era() != era) {
            return;
        }
        if (a.ballot() < promised) {
            out.say(from, new Word.Refused(era, a.ballot(), promised));
            return;
        }
        if (!has.test(a.stage().from()) | !has.test(a.stage().to())) {
            return;
        }
        boolean newer = a.ballot() > acceptedBallot || a.stage().index() > accepted.index();
        if (newer) {
            known = known && a.stage().equals(accepted);
            promised = a.ballot();
            acceptedBallot = a.ballot();
            accepted = a.stage();
        }
        if (a.stage().equals(accepted)) {
            out.say(from, new Word.Accepted(era, a.ballot(), a.stage().index(), lives()));
        }
    }

    private void chosen(long now, Word.Chosen c) {
        if (active && c.era() == era && c.stage().equals(accepted) && !known) {
            known = true;
            knownAt = now;
        }
    }

    // ---- coming back ----

    private void back(int from, Word.Back b, Out out) {
        if (!active) {
            out.say(from, new Word.Blank(b.nonce(), nonce));
        } else if (begun != null && begun.get(from) == b.nonce()) {
            out.say(from, new Word.Begun(begun));
        } else {
            out.say(from, new Word.Seen(b.nonce(), lives[from].count()));
        }
    }

    private void seen(int from, Word.Seen s, Out out) {
        if (active || next != null || s.nonce() != nonce) {
            return;
        }
        counts[from] = s.count();
        int most = Arrays.stream(counts).max().orElse(-1);
        if (Arrays.stream(counts).filter(c -> c >= 0).count() >= group.majority()) {
            next = new Life(most + 1, nonce);
            others(out, new Word.Rejoin(next));
        }
    }

    private void rejoin(int from, Word.Rejoin r, Out out) {
        if (!active) {
            return;
        }
        lives[from] = Life.later(lives[from], r.life());
        if (lives[from].equals(r.life())) {
            out.say(from, new Word.State(era, r.life(), lives(), promised, acceptedBallot, accepted, known));
        }
    }

    private void state(long now, int from, Word.State s) {
        if (active || next == null || !next.equals(s.of())) {
            return;
        }
        states[from] = s;
        List<Word.State> told = Arrays.stream(states).filter(Objects::nonNull).toList();
        // One that has come back itself since it spoke may not know what it knew.
        if (told.size() < group.majority() || rules.livesCount() && !consistent(told)) {
            return;
        }
        lives[me] = next;
        for (Word.State t : told) {
            era = t.era();
            promised = Math.max(promised, t.promised());
            for (int v = 0; v < lives.length; v++) {
                lives[v] = Life.later(lives[v], t.lives().get(v));
            }
            boolean newer = t.acceptedBallot() > acceptedBallot
                    || t.acceptedBallot() == acceptedBallot && t.accepted().index() > accepted.index();
            if (newer) {
                acceptedBallot = t.acceptedBallot();
                accepted = t.accepted();
                known = t.known();
            } else if (t.accepted().equals(accepted)) {
                known |= t.known();
            }
        }
        knownAt = now;
        active = true;
    }

    private boolean consistent(List<Word.State> told) {
        for (int v = 0; v < states.length; v++) {
            for (Word.State t : told) {
                if (states[v] != null
                        && (states[v].lives().get(v).before(t.lives().get(v)) || states[v].era() != t.era())) {
                    return false;
                }
            }
        }
        return true;
    }

    private void blank(int from, Word.Blank b, Out out) {
        if (active || b.nonce() != nonce) {
            return;
        }
        blanks[from] = b.own();
        blanks[me] = nonce;
        if (Arrays.stream(blanks).allMatch(n -> n != 0)) {
            List<Integer> all = Arrays.stream(blanks).boxed().toList();
            if (!all.equals(together)) {
                together = all;
                agreed = 0;
                others(out, new Word.Together(all));
            }
        }
    }

    private void together(int from, Word.Together t, Out out) {
        boolean stillBlank = !active && t.nonces().get(me) == nonce;
        boolean begunSo = active && era == eraOf(t.nonces());
        if (stillBlank || begunSo) {
            out.say(from, new Word.Agreed(t.nonces()));
        }
    }

    private void agreed(long now, int from, Word.Agreed a) {
        if (active || !a.nonces().equals(together)) {
            return;
        }
        agreed |= 1 << from;
        if (Integer.bitCount(agreed) == group.voters() - 1) {
            begin(now, together);
        }
    }

    /** All were blank between the first answer to {@link Word.Together} and the last to {@link Word.Back}: nothing is remembered anywhere. */
    private void begin(long now, List<Integer> nonces) {
        era = eraOf(nonces);
        begun = nonces;
        for (int v = 0; v < lives.length; v++) {
            lives[v] = new Life(1, nonces.get(v));
        }
        known = true;
        knownAt = now;
        active = true;
    }

    static long eraOf(List<Integer> nonces) {
        long era = 1;
        for (int n : nonces) {
            era = (era ^ n) * 0x9e3779b97f4a7c15L;
            era ^= era >>> 29;
        }
        return era;
    }

    /** All that it goes by, for who compares states. */
    void print(StringBuilder to, long now) {
        to.append(active ? 'A' : 'b')
                .append(nonce)
                .append(' ')
                .append(era & 0xffff)
                .append(' ')
                .append(promised)
                .append(' ')
                .append(acceptedBallot)
                .append(' ')
                .append(accepted)
                .append(known ? String.valueOf(Math.min(group.waitUs(), now - knownAt)) : "?")
                .append(Arrays.toString(lives));
        if (!active) {
            to.append(Arrays.toString(counts))
                    .append(Arrays.toString(blanks))
                    .append(next)
                    .append(Arrays.toString(states))
                    .append(together)
                    .append(agreed);
        }
    }
}
