package loadbalancer.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests the translation between the simulator's line protocol and the balancer, and errors for invalid input. */
class SimulatorHostTest {
    private static final String SETTINGS = "me=0 balancers=2 zone=z kinds=k azs=z profiles.count=1 profiles.0.name=c "
            + "profiles.0.semantics=safe profiles.0.objective_us=300000 profiles.0.give_up_us=800000 "
            + "rules.drain_grace_us=500000 rules.cold_share=0.2 rules.ramp_time_us=9000000 rules.fall_multiple=3 "
            + "rules.fall_us=1000000 load_info.how=inline load_info.fields=pending,busy_reqs";
    private static final String STARTED_INSTANCE = "MARK 1000\nINSTANCE sidecar-0\nENLIST 5 " + SETTINGS
            + " new.key=1\n" + "PAGE 3 1\nROW z up_a k 0 - 1 1\nANNOUNCE 4 1 3\nEND\n";

    private int exitCode;
    private String output;
    private String errorOutput;

    private void run(String input) throws Exception {
        ByteArrayOutputStream standardOutput = new ByteArrayOutputStream();
        ByteArrayOutputStream standardError = new ByteArrayOutputStream();
        exitCode = new SimulatorHost(
                        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                        standardOutput,
                        new PrintStream(standardError, true))
                .run();
        output = standardOutput.toString(StandardCharsets.UTF_8);
        errorOutput = standardError.toString(StandardCharsets.UTF_8);
    }

    private void assertRejected(String input, String expectedError) throws Exception {
        run(input);
        assertEquals(1, exitCode);
        assertEquals(1, errorOutput.lines().count(), errorOutput);
        assertTrue(errorOutput.contains(expectedError), errorOutput);
    }

    @Test
    void sendsARequestAndIgnoresAnUnknownSetting() throws Exception {
        run(STARTED_INSTANCE + "MARK 2000\nINSTANCE sidecar-0\nACCEPT 0f - 0 0 - 800000 - c\nEND\n");
        assertEquals(0, exitCode, errorOutput);
        assertTrue(output.contains("BY sidecar-0\nASSIGN 0f up_a 802000\n"), output);
        assertTrue(output.endsWith("OK\n"));
    }

    @Test
    void writesConnectionClosingAndGossipWhenConfigured() throws Exception {
        for (boolean configured : new boolean[] {true, false}) {
            String start = configured
                    ? STARTED_INSTANCE.replace("new.key=1", "rules.close_on_drain_within_us=500000 limits.peers=true")
                    : STARTED_INSTANCE;
            run(start + "MARK 2000\nINSTANCE sidecar-0\nACCEPT 0f - 0 0 - 800000 - c\nEND\n"
                    + "MARK 9000\nINSTANCE sidecar-0\nREPORT_BACK 0f 0 up_a GOOD 7000 1 0,1\nEND\n"
                    + "MARK 10000\nPAGE 4 1\nROW z up_a k 0 - 1 2\nINSTANCE sidecar-0\nANNOUNCE 2 2 4\n"
                    + "DEADLINE_HIT tell\nEND\n");
            if (configured) {
                assertEquals(0, exitCode, errorOutput);
                assertTrue(output.contains("LET_GO up_a\n"), output);
                assertTrue(output.contains("WRITE_PEER 1 "), output);
            } else {
                assertTrue(!output.contains("LET_GO"), output);
            }
        }
    }

    @Test
    void repliesToAnEmptyBatch() throws Exception {
        run("MARK 7\nEND\n");
        assertEquals("OK\n", output);
        assertEquals(0, exitCode);
    }

    @Test
    void acceptsOutcomesAndExpiryOfUnknownRequests() throws Exception {
        run(STARTED_INSTANCE + "MARK 2000\nINSTANCE sidecar-0\nACCEPT 0f - 0 0 - 800000 - c\n"
                + "REPORT_BACK ff 0 up_x GOOD 5 1 -\nEXPIRED ee\nEND\n"
                + "MARK 9000\nINSTANCE sidecar-0\nREPORT_BACK 0f 0 up_a GOOD 7000 1 0,1\nMAIL 1 AAAA\nEND\n");
        assertEquals(0, exitCode, errorOutput);
        assertTrue(!output.contains("DIE"), output);
    }

    @Test
    void rejectsMalformedInputWithAOneLineError() throws Exception {
        assertRejected("HELLO\n", "MARK");
        assertRejected("MARK x\nEND\n", "not a number");
        assertRejected("MARK 5\n", "ended within a batch");
        assertRejected("MARK 5\nINSTANCE sidecar-0\nACCEPT 1\nEND\n", "has not started");
        assertRejected("MARK 5\nACCEPT 1\nEND\n", "before any INSTANCE");
        assertRejected(STARTED_INSTANCE + "MARK 6\nINSTANCE sidecar-0\nDANCE\nEND\n", "unknown");
        assertRejected(STARTED_INSTANCE + "MARK 6\nINSTANCE sidecar-0\nACCEPT 0f\nEND\n", "too few fields");
        assertRejected(
                STARTED_INSTANCE + "MARK 6\nINSTANCE sidecar-0\nREPORT_BACK 0f 0 up_a FINE 5 1 -\nEND\n", "FINE");
        assertRejected(STARTED_INSTANCE + "MARK 6\nPAGE 1 2\nROW z a k 0 - 1 1\n", "ended within a PAGE");
        assertRejected("MARK 5\nINSTANCE sidecar-0\nENLIST 5 me=0\nEND\n", "is missing");
    }

    @Test
    void reportsAnExceptionOfTheBalancerWithItsMessage() throws Exception {
        run(STARTED_INSTANCE + "MARK 6\nINSTANCE sidecar-0\nACCEPT 0f - 0 0 - 800000 - nosuch\nEND\n");
        assertEquals(0, exitCode);
        assertTrue(output.contains("DIE ") && output.contains("nosuch"), output);
    }

    @Test
    void restartsAnInstanceAfterDown() throws Exception {
        run(STARTED_INSTANCE + "MARK 6\nINSTANCE sidecar-0\nDOWN\nENLIST 6 " + SETTINGS + "\nANNOUNCE 4 1 3\n"
                + "ACCEPT 0f - 0 0 - 800000 - c\nEND\n");
        assertEquals(0, exitCode, errorOutput);
        assertTrue(output.contains("ASSIGN 0f up_a"), output);
    }
}
