package rushproxy.accord;

import java.util.function.LongPredicate;

/**
 * One process's part in agreeing: its vote where it has one, its leading while it leads, and by what its sidecar decides. What it says goes to
 * sidecars by their numbers, to itself as well. Pure: time is a parameter, by a clock of its own that never goes back.
 */
final class Seat {
    private final Group group;
    private final Rules rules;
    private final int me;
    private final LongPredicate has;
    /** Null where it has no vote. */
    private final Voter voter;

    private Leader leader;
    private final Holder holder;

    /** @param nonce drawn anew by each process, not 0 */
    Seat(Group group, Rules rules, int me, int nonce) {
        this(group, rules, me, nonce, version -> true);
    }

    /** @param has whether what a version says is here and can be taken; asked for what it is about to go by */
    Seat(Group group, Rules rules, int me, int nonce, LongPredicate has) {
        this.group = group;
        this.rules = rules;
        this.me = me;
        this.has = has;
        voter = me < group.voters() ? new Voter(group, rules, me, nonce, has) : null;
        holder = new Holder(group, rules, nonce * 31, has);
    }

    private Seat(Seat o) {
        group = o.group;
        rules = o.rules;
        me = o.me;
        has = o.has;
        voter = o.voter == null ? null : o.voter.copy();
        leader = o.leader == null ? null : o.leader.copy();
        holder = o.holder.copy();
    }

    Seat copy() {
        return new Seat(this);
    }

    Voter voter() {
        return voter;
    }

    Leader leader() {
        return leader;
    }

    Holder holder() {
        return holder;
    }

    /** Asks for what it lacks: a vote's memory, a lease. */
    void renew(long now, Voter.Out out) {
        if (voter != null) {
            voter.comeBack(now, out);
        }
        holder.ask(now, out);
    }

    /** Leads from now on, to this version, or to the end of what is open; false where it has no vote that counts. */
    boolean lead(long now, long wish, boolean abort, Voter.Out out) {
        return lead(now, me, wish, abort, out);
    }

    private boolean lead(long now, int proposer, long wish, boolean abort, Voter.Out out) {
        if (voter == null || !voter.active()) {
            return false;
        }
        leader = new Leader(
                group,
                rules,
                me,
                voter,
                proposer,
                Math.max(voter.promised(), leader == null ? 0 : leader.ballot()),
                wish,
                abort);
        leader.step(now, out);
        return true;
    }

    /** Says again what has not been answered; goes on where it leads. */
    void step(long now, Voter.Out out) {
        if (leader != null) {
            leader.step(now, out);
            if (leader.over()) {
                leader = null;
            }
        }
    }

    void hear(long now, int from, Word word, Voter.Out out) {
        if (word instanceof Word.Propose p) {
            // Who is at something already is not disturbed: its proposer is told by what comes into force.
            if (leader == null) {
                lead(now, from, p.version(), p.abort(), out);
            }
            return;
        }
        if (voter != null) {
            voter.hear(now, from, word, out);
        }
        if (leader != null) {
            leader.hear(now, from, word, out);
            leader.advance(now, out);
            if (leader.over()) {
                leader = null;
            }
        }
        if (word instanceof Word.Staged s) {
            if (has.test(s.version())) {
                out.say(from, new Word.Fit(s.era(), s.version()));
            }
        } else if (word instanceof Word.Chosen c) {
            chosen(now, from, c, out);
        } else if (holder.hear(now, from, word)) {
            out.say(holder.leader(), new Word.Taken(holder.era(), holder.last().index()));
        }
    }

    /** A hint alone: what is in force it hears from a majority. Who has it already says so again, as that word may have been lost. */
    private void chosen(long now, int from, Word.Chosen c, Voter.Out out) {
        Stage has = holder.last();
        if (has != null && holder.era() == c.era() && has.index() >= c.stage().index()) {
            out.say(from, new Word.Taken(c.era(), has.index()));
        } else {
            holder.ask(now, out);
        }
    }

    void print(StringBuilder to, long now) {
        if (voter != null) {
            voter.print(to, now);
        }
        if (leader != null) {
            leader.print(to, now);
        }
        holder.print(to, now);
    }
}
