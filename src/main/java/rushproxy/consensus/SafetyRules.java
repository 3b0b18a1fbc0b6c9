package rushproxy.consensus;

/**
 * What makes it safe, each by its name, so that a checker can show that nothing holds without it. A sidecar has all of them.
 *
 * @param recovers      a process that remembers nothing votes only once it knows what the others remember
 * @param livesCount    answers of a voter's earlier life do not count
 * @param joint         no stage goes from one version to another at once
 * @param waits         a stage follows when all have taken the one before, or nobody can hold the one before that any more
 * @param leasesEnd     who has not asked for long decides by nothing but what is safe
 * @param majority      a stage is in force for who hears of it from a majority, or that it is chosen
 */
record SafetyRules(boolean recovers, boolean livesCount, boolean joint, boolean waits, boolean leasesEnd, boolean majority) {
    static final SafetyRules ALL = new SafetyRules(true, true, true, true, true, true);
}
