package loadbalancer.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.json.JsonObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.ResourceLock;
import org.junit.jupiter.api.parallel.Resources;

/** Events are printed as text for people, or as lines of JSON, unless their thread has a sink of its own. */
@ResourceLock(Resources.SYSTEM_ERR)
class LogTest {
    private static String printedBy(Runnable action) {
        PrintStream before = System.err;
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        System.setErr(new PrintStream(printed, true, StandardCharsets.UTF_8));
        try {
            action.run();
        } finally {
            System.setErr(before);
        }
        return printed.toString(StandardCharsets.UTF_8);
    }

    private static String lineWith(String part, String printed) {
        return printed.lines().filter(line -> line.contains(part)).findFirst().orElseThrow();
    }

    private static JsonObject jsonWith(String part, Runnable action) {
        return JsonObject.parse(lineWith(part, printedBy(action)).getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void eventIsPrintedAsItsText() {
        assertEquals(
                "sidecar: said \"so\" 7",
                lineWith("said \"so\"", printedBy(() -> Log.event("said", "said \"so\" 7", "number", 7))));
        assertEquals("sidecar: said \"so\" 7", lineWith("said \"so\"", printedBy(() -> LogEvent.info("said")
                .field("number", 7)
                .message("said \"so\" 7")
                .emit())));
    }

    @Test
    void eventIsPrintedAsJsonWhereThatIsSet() {
        // given
        Log.setJsonOutput(true);
        try {
            // when
            JsonObject event = jsonWith("so\\\" 8", () -> Log.event("said", "said \"so\" 8", "number", 8, "why", null));
            JsonObject built = jsonWith("so\\\" 9", () -> LogEvent.info("said")
                    .field("number", 9)
                    .field("why", null)
                    .message("said \"so\" 9")
                    .emit());
            JsonObject fault = jsonWith("nine", () -> Log.fault("it broke nine", new IllegalStateException("x")));
            // then
            assertEquals("said", event.string("event"));
            assertEquals("said \"so\" 8", event.string("text"));
            assertEquals(8, event.integer("number"));
            assertEquals("info", event.string("level"));
            assertEquals("said", built.string("event"));
            assertEquals("said \"so\" 9", built.string("text"));
            assertEquals(9, built.integer("number"));
            assertEquals("info", built.string("level"));
            assertEquals("error", fault.string("level"));
            assertEquals("java.lang.IllegalStateException", fault.string("exception"));
        } finally {
            Log.setJsonOutput(false);
        }
    }

    /** Simulations run beside each other, each on its thread: none may get another's events. */
    @Test
    void divertedThreadsEventsGoToItsSinkOnly() throws Exception {
        // given
        List<String> mine = new ArrayList<>();
        Log.setThreadSink(event -> mine.add(event.name() + " " + event.text() + " " + event.isFault()));
        // when
        try {
            Thread other = new Thread(() -> Log.event("theirs", "not for this list"));
            other.start();
            other.join();
            Log.event("mine", "for this list");
            Log.fault("bad", new RuntimeException());
        } finally {
            Log.setThreadSink(null);
        }
        // then
        assertEquals("mine for this list false", mine.get(0));
        assertTrue(mine.get(1).startsWith("fault bad: ") && mine.get(1).endsWith("true"), mine.toString());
        assertEquals(2, mine.size());
    }
}
