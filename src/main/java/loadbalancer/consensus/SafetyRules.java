package loadbalancer.consensus;

import java.util.Collections;
import java.util.EnumSet;
import java.util.Set;

/**
 * The safety rules that a process enforces: {@link #ALL}, or fewer in tests.
 *
 * @param enforced unmodifiable
 */
record SafetyRules(Set<SafetyRule> enforced) {
    static final SafetyRules ALL = new SafetyRules(EnumSet.allOf(SafetyRule.class));

    SafetyRules {
        enforced = Collections.unmodifiableSet(enforced);
    }

    static SafetyRules without(SafetyRule rule) {
        return new SafetyRules(EnumSet.complementOf(EnumSet.of(rule)));
    }

    boolean enforces(SafetyRule rule) {
        return enforced.contains(rule);
    }
}
