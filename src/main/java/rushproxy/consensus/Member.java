package rushproxy.consensus;

import java.util.function.LongPredicate;

/**
 * One process's part in agreeing: its vote where it has one, its leading while it leads, and by what its sidecar decides. What it says goes to
 * sidecars by their numbers, to itself as well. Pure: time is a parameter, by a clock of its own that never goes back.
 */
final class Member {
    private final Group group;
    private final SafetyRules rules;
    private final int me;
    private final LongPredicate has;
    /** Null where it has no vote. */
    private final Voter voter;

    private Leader leader;
    private final LeaseHolder leaseHolder;

    /** @param nonce drawn anew by each process, not 0 */
    Member(Group group, SafetyRules rules, int me, int nonce) {
        this(group, rules, me, nonce, version -> true);
    }

    /** @param has whether what a version says is here and can be taken; asked for what it is about to go by */
    Member(Group group, SafetyRules rules, int me, int nonce, LongPredicate has) {
        this.group = group;
        this.rules = rules;
        this.me = me;
        this.has = has;
        voter = me < group.voters() ? new Voter(group, rules, me, nonce, has) : null;
        leaseHolder = new LeaseHolder(group, rules, nonce * 31, has);
    }

    private Member(Member o) {
        group = o.group;
        rules = o.rules;
        me = o.me;
        has = o.has;
        voter = o.voter == null ? null : o.voter.copy();
        leader = o.leader == null ? null : o.leader.copy();
        leaseHolder = o.leaseHolder.copy();
    }

    Member copy() {
        return new Member(this);
    }

    Voter voter() {
        return voter;
    }

    Leader leader() {
        return leader;
    }

    LeaseHolder leaseHolder() {
        return leaseHolder;
    }

    /** Asks for what it lacks: a vote's memory, a lease. */
    void renew(long now, Voter.Out out) {
        if (voter != null) {
            voter.comeBack(now, out);
        }
        leaseHolder.ask(now, out);
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

    void hear(long now, int from, Message message, Voter.Out out) {
        if (message instanceof Message.Propose p) {
            // Who is at something already is not disturbed: its proposer is told by what comes into force.
            if (leader == null) {
                lead(now, from, p.version(), p.abort(), out);
            }
            return;
        }
        if (voter != null) {
            voter.hear(now, from, message, out);
        }
        if (leader != null) {
            leader.hear(now, from, message, out);
            leader.advance(now, out);
            if (leader.over()) {
                leader = null;
            }
        }
        if (message instanceof Message.Validate s) {
            if (has.test(s.version())) {
                out.send(from, new Message.Valid(s.era(), s.version()));
            }
        } else if (message instanceof Message.Chosen c) {
            chosen(now, from, c, out);
        } else if (leaseHolder.hear(now, from, message)) {
            out.send(leaseHolder.leader(), new Message.Adopted(leaseHolder.era(), leaseHolder.last().index()));
        }
    }

    /** A hint alone: what is in force it hears from a majority. Who has it already says so again, as that message may have been lost. */
    private void chosen(long now, int from, Message.Chosen c, Voter.Out out) {
        Stage has = leaseHolder.last();
        if (has != null && leaseHolder.era() == c.era() && has.index() >= c.stage().index()) {
            out.send(from, new Message.Adopted(c.era(), has.index()));
        } else {
            leaseHolder.ask(now, out);
        }
    }

    void print(StringBuilder to, long now) {
        if (voter != null) {
            voter.print(to, now);
        }
        if (leader != null) {
            leader.print(to, now);
        }
        leaseHolder.print(to, now);
    }
}
