package loadbalancer.consensus.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.consensus.audit.PolicyHistory.Event;
import loadbalancer.toml.ConfigurationException;
import org.junit.jupiter.api.Test;

class PolicyHistoryTest {
    private static final String ERA = "e";
    private static final long MAX_CLOCK_SKEW_MILLIS = 10;

    private final PolicyHistory history = new PolicyHistory();

    private void adopt(String log, long atMillis, long index, String oldVersion, String newVersion) {
        history.add(new Event(log, atMillis, ERA, index, oldVersion, newVersion));
    }

    private void adoptJointAndSettled(String log, long atMillis) {
        adopt(log, atMillis, 1, "old", "new");
        adopt(log, atMillis + 100, 2, "new", "new");
    }

    private void assertNoViolation() {
        assertEquals(List.of(), history.violations(MAX_CLOCK_SKEW_MILLIS));
    }

    private void assertOneViolation(String start) {
        List<String> violations = history.violations(MAX_CLOCK_SKEW_MILLIS);
        assertTrue(violations.size() == 1 && violations.get(0).startsWith(start), violations.toString());
    }

    @Test
    void changeThatAllSidecarsAdoptIsNoViolation() {
        // when
        adoptJointAndSettled("s0", 1_000);
        adoptJointAndSettled("s1", 1_090);
        // then
        assertNoViolation();
        assertEquals(
                List.of(
                        "1000  era e  stage 1  old and new  at 2 of 2 sidecars within 90 ms",
                        "1100  era e  stage 2  new  at 2 of 2 sidecars within 90 ms"),
                history.describe());
    }

    @Test
    void stagesTwoApartAtTheSameTimeAreAViolation() {
        // when
        adopt("s0", 900, 0, "old", "old");
        history.recordAlive("s0", 1_500);
        adoptJointAndSettled("s1", 1_000);
        history.recordAlive("s1", 1_400);
        // then
        assertOneViolation("ONE_POLICY: s1 had a lease on stage 2 and s0 on stage 0");
    }

    @Test
    void stageAfterAnExpiredLeaseIsNoViolation() {
        // when
        adopt("s0", 900, 0, "old", "old");
        history.add(new Event("s0", 1_090, ERA, Event.NO_STAGE, "", ""));
        history.recordAlive("s0", 1_500);
        adoptJointAndSettled("s1", 1_000);
        // then
        assertNoViolation();
        String lastLine = history.describe().get(2);
        assertTrue(lastLine.endsWith("not at [s0]"), lastLine);
    }

    /** The process was paused when its lease expired, and logs the expiry when it resumes. */
    @Test
    void leaseOfAPausedProcessEndsWhenItExpired() throws ConfigurationException {
        // when
        adopt("s0", 900, 0, "old", "old");
        PolicyLogReader.read(
                history,
                "s0",
                List.of(
                        "{\"atMs\":1500,\"event\":\"policy.careful\",\"era\":\"e\",\"index\":0,\"from\":\"old\",\"version\":\"old\",\"ago_ms\":420}"));
        adoptJointAndSettled("s1", 1_000);
        history.recordAlive("s1", 1_600);
        // then
        assertNoViolation();
    }

    @Test
    void twoStagesOfOneIndexAreAViolation() {
        // when
        adopt("s0", 900, 1, "old", "new");
        adopt("s1", 900, 1, "old", "other");
        // then
        assertOneViolation("EVERYWHERE_OR_NOWHERE: stage 1");
    }

    @Test
    void stageThatDoesNotFollowThePreviousOneIsAViolation() {
        // when
        adopt("s0", 900, 1, "old", "new");
        adopt("s0", 950, 2, "other", "other");
        // then
        assertOneViolation("ORDER: stage 2");
    }

    @Test
    void onlyARestartedProcessMayGoBackToAnEarlierStage() {
        // when
        adopt("s0", 900, 2, "new", "new");
        history.recordRestart("s0", 950);
        adopt("s0", 1_000, 1, "old", "new");
        // then
        assertNoViolation();
        // when
        adopt("s0", 1_050, 2, "new", "new");
        adopt("s0", 1_060, 1, "old", "new");
        // then
        assertOneViolation("ORDER: s0 went from stage 2 back to 1");
    }

    @Test
    void errorForAMalformedLineNamesTheLine() {
        // given
        List<String> lines =
                List.of("text", "{\"atMs\":1,\"event\":\"ready\"}", "{\"atMs\":1,\"event\":\"policy.joint\"}");
        // when
        ConfigurationException exception =
                assertThrows(ConfigurationException.class, () -> PolicyLogReader.read(history, "s0.log", lines));
        // then
        assertTrue(exception.getMessage().startsWith("s0.log:3: "), exception.getMessage());
    }
}
