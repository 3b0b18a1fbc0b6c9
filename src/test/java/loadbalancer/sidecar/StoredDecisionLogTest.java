package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.BitSet;
import java.util.List;
import java.util.regex.Pattern;
import loadbalancer.consensus.ActiveStage;
import loadbalancer.consensus.audit.PolicyHistory;
import loadbalancer.consensus.audit.PolicyLogReader;
import loadbalancer.core.Clock;
import loadbalancer.core.Log;
import loadbalancer.json.JsonObject;
import loadbalancer.stored.StoredSamples;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.ResourceLock;
import org.junit.jupiter.api.parallel.Resources;

/**
 * Policy events in a sidecar's log, which {@code policy history} and {@code policy audit} read, and the policy status.
 */
@ResourceLock(Resources.SYSTEM_ERR)
class StoredDecisionLogTest {
    private static final String TEXT = "decision-log.txt", JSON = "decision-log.jsonl", STATUS = "policy-status.json";
    private static final long ERA = 0x5eed_0042_c0deL, OLD = 0xa11ce_0001L, NEW = 0xa11ce_0002L;
    private static final long START_MS = 1_764_700_000_000L;

    /** Groups: the part between time and text, and the part after the text. */
    private static final Pattern TIME_AND_TEXT =
            Pattern.compile("\\{\"atMs\":[0-9]{13}(,\"level\":\"info\",\"event\":\"[a-z.]+\"),\"text\":\"[^\"]+\"(.*)");

    /** A source whose active stage the test sets. */
    private static final class FixedSource implements ConfigurationSource {
        private ActiveStage stage = new ActiveStage(ERA, 2, OLD, OLD, true);

        @Override
        public ActiveStage activeStage(long nowMicros) {
            return stage;
        }

        @Override
        public boolean hasLearned() {
            return true;
        }

        @Override
        public long leaseExpiryMicros() {
            return START_MS * 1000;
        }

        @Override
        public byte[] content(long version) {
            return null;
        }

        @Override
        public long nextTickMicros() {
            return Long.MAX_VALUE;
        }

        @Override
        public void tick(long nowMicros) {
            // Nothing is due.
        }

        @Override
        public void receive(long nowMicros, int from, byte[] datagram) {
            // The test sets the stage.
        }

        @Override
        public String propose(long nowMicros, byte[] content) {
            return null;
        }

        @Override
        public String abort(long nowMicros) {
            return null;
        }

        @Override
        public boolean isProposalPending() {
            return true;
        }

        @Override
        public String rejectionReason() {
            return "sidecar 4: policy:3: no such zone";
        }

        @Override
        public BitSet awaitedMembers() {
            return BitSet.valueOf(new long[] {0b10010});
        }

        @Override
        public long droppedMessages() {
            return 3;
        }
    }

    private final FixedSource source = new FixedSource();
    private long nowMicros = START_MS * 1000;
    private final AgreedConfiguration policies = new AgreedConfiguration(
            (delayMicros, task) -> () -> {},
            new Clock() {
                @Override
                public long nowMicros() {
                    return nowMicros;
                }
            },
            List.of(),
            check -> source,
            policy -> {});

    private void setActiveStage(long index, long from, long to, boolean leaseValid) {
        nowMicros += 250_000;
        source.stage = new ActiveStage(ERA, index, from, to, leaseValid);
        policies.receive(1, new byte[0]);
    }

    /** Logs a start, a change of policy, and a lease that expired and was granted again; returns the lines. */
    private List<String> logLines(boolean json) {
        PrintStream before = System.err;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        System.setErr(new PrintStream(out, true, StandardCharsets.UTF_8));
        Log.setJsonOutput(json);
        try {
            // The same event as in Sidecar.logListenAddress().
            Log.event(
                    "serves",
                    "a11ce/0 serves on /127.0.0.1:8080, limits",
                    "name",
                    "a11ce/0",
                    "address",
                    "/127.0.0.1:8080");
            policies.start();
            setActiveStage(3, OLD, NEW, true);
            setActiveStage(4, NEW, NEW, true);
            setActiveStage(4, NEW, NEW, false);
            setActiveStage(4, NEW, NEW, true);
        } finally {
            Log.setJsonOutput(false);
            System.setErr(before);
        }
        // Test classes that run at the same time log too.
        return out.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains("a11ce"))
                .toList();
    }

    private static byte[] file(List<String> lines) {
        return (String.join("\n", lines) + "\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Texts may be reworded, so the output is compared with the current texts and not with the stored ones. */
    @Test
    void writesTextLinesWithProgramName() {
        assertEquals(
                List.of(
                        "sidecar: a11ce/0 serves on /127.0.0.1:8080, limits",
                        "sidecar: policy a11ce0001 is in force",
                        "sidecar: policy a11ce0001 and a11ce0002 go together: the stricter of both",
                        "sidecar: policy a11ce0002 is in force",
                        "sidecar: may have missed a change of policy: goes on by a11ce0002 until it hears a majority",
                        "sidecar: sure again that policy a11ce0002 is in force"),
                logLines(false));
    }

    /**
     * The events and fields that programs read: all but the text and the wall clock's time, which differs from the
     * stored one (one second from line to line).
     */
    @Test
    void writesJsonEventsAndFieldsAsStored() {
        assertEquals(
                StoredSamples.lines(JSON).stream()
                        .map(StoredDecisionLogTest::withoutTimeAndText)
                        .toList(),
                logLines(true).stream()
                        .map(StoredDecisionLogTest::withoutTimeAndText)
                        .toList());
    }

    private static String withoutTimeAndText(String line) {
        assertTrue(TIME_AND_TEXT.matcher(line).matches(), line);
        return TIME_AND_TEXT.matcher(line).replaceFirst("{\"atMs\":0$1,\"text\":\"\"$2");
    }

    /** A JSON line has the same text as a text line; the stored text lines have no program name in front. */
    @Test
    void storedTextAndJsonLogsHaveTheSameTexts() {
        assertEquals(
                StoredSamples.lines(TEXT),
                StoredSamples.lines(JSON).stream()
                        .map(line -> JsonObject.parse(line.getBytes(StandardCharsets.UTF_8))
                                .string("text"))
                        .toList());
    }

    @Test
    void readsPolicyHistoryFromStoredLog(@TempDir Path folder) throws Exception {
        Files.write(folder.resolve("sidecar-0.log"), StoredSamples.bytes(JSON));
        Files.write(folder.resolve("sidecar-1.log"), StoredSamples.bytes(JSON));
        PolicyHistory history = PolicyLogReader.read(folder);
        assertEquals(List.of(), history.violations(0));
        assertEquals(
                List.of(
                        "1764700001000  era 5eed0042c0de  stage 2  a11ce0001  at 2 of 2 sidecars within 0 ms",
                        "1764700002000  era 5eed0042c0de  stage 3  a11ce0001 and a11ce0002  at 2 of 2 sidecars within 0 ms",
                        "1764700003000  era 5eed0042c0de  stage 4  a11ce0002  at 2 of 2 sidecars within 2000 ms"),
                history.describe());
    }

    /** Only JSON lines have the fields that an audit needs. */
    @Test
    void ignoresTextLines(@TempDir Path folder) throws Exception {
        Files.write(folder.resolve("sidecar-0.log"), StoredSamples.bytes(TEXT));
        assertEquals(List.of(), PolicyLogReader.read(folder).describe());
    }

    @Test
    void writesPolicyStatusAsStored() {
        policies.start();
        setActiveStage(3, OLD, NEW, true);
        nowMicros += 1_500_000;
        StoredSamples.assertWritten(STATUS, JsonObject.write(policies.status()));
    }
}
