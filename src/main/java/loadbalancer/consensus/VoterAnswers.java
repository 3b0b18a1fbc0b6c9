package loadbalancer.consensus;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** The voters that have answered in one round of a ballot, each with the incarnations that it knew when it answered. */
final class VoterAnswers {
    private final GroupConfig group;
    private final SafetyRules rules;
    /** By voter; null without an answer. */
    private final List<List<Incarnation>> answers;

    VoterAnswers(GroupConfig group, SafetyRules rules) {
        this.group = group;
        this.rules = rules;
        answers = new ArrayList<>(Collections.nCopies(group.voters(), null));
    }

    private VoterAnswers(VoterAnswers other) {
        group = other.group;
        rules = other.rules;
        answers = new ArrayList<>(other.answers);
    }

    VoterAnswers copy() {
        return new VoterAnswers(this);
    }

    /** @param incarnations of all voters by number, as far as the answering voter knows them */
    void add(int voter, List<Incarnation> incarnations) {
        answers.set(voter, incarnations);
    }

    void clear() {
        Collections.fill(answers, null);
    }

    /**
     * Whether a majority has answered, not counting a voter that has lost its state since it answered, as far as the
     * other answers show.
     */
    boolean isQuorum() {
        int valid = 0;
        for (int voter = 0; voter < answers.size(); voter++) {
            valid += answers.get(voter) != null && !isOutdated(voter) ? 1 : 0;
        }
        return valid >= group.majority();
    }

    private boolean isOutdated(int voter) {
        if (!rules.enforces(SafetyRule.INCARNATIONS)) {
            return false;
        }
        Incarnation answering = answers.get(voter).get(voter);
        for (List<Incarnation> known : answers) {
            if (known != null && answering.isBefore(known.get(voter))) {
                return true;
            }
        }
        return false;
    }

    @Override
    public String toString() {
        return answers.toString();
    }
}
