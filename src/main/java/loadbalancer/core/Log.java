package loadbalancer.core;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.json.JsonObject;

/**
 * Prints {@link LogEvent}s to standard error, each as its text or, where the operator's file says so, as a line of JSON.
 * Safe to call from any thread.
 */
public final class Log {
    /** Stack frames that a fault's text names. */
    private static final int MAX_STACK_FRAMES = 4;

    private static volatile boolean jsonOutput;
    /** Null until a thread diverts its events, which a serving sidecar never does. */
    private static volatile ThreadLocal<Sink> threadSink;

    private Log() {}

    /** Takes a thread's events in place of standard error. */
    public interface Sink {
        /** Called on the thread that emits the event. */
        void accept(LogEvent event);
    }

    /** Whether events are printed as JSON from now on. */
    public static void setJsonOutput(boolean on) {
        jsonOutput = on;
    }

    /** Sends the current thread's events to {@code sink} from now on; null sends them to standard error again. */
    public static synchronized void setThreadSink(Sink sink) {
        if (threadSink == null) {
            threadSink = new ThreadLocal<>();
        }
        threadSink.set(sink);
    }

    /** As {@link LogEvent#info}; {@code fields} are keys and values in turn. */
    public static void event(String name, String text, Object... fields) {
        LogEvent event = LogEvent.info(name);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            event.field(String.valueOf(fields[i]), fields[i + 1]);
        }
        event.message(text).emit();
    }

    /** Reports a fault of this program with the innermost stack frames of its cause. */
    public static void fault(String description, Throwable cause) {
        StringBuilder text = new StringBuilder(description).append(": ").append(cause);
        StackTraceElement[] frames = cause.getStackTrace();
        for (int i = 0; i < Math.min(MAX_STACK_FRAMES, frames.length); i++) {
            text.append(" at ").append(frames[i]);
        }
        LogEvent.fault("fault")
                .field("exception", cause.getClass().getName())
                .message(text.toString())
                .emit();
    }

    static void emit(LogEvent event) {
        ThreadLocal<Sink> sinks = threadSink;
        Sink sink = sinks == null ? null : sinks.get();
        if (sink != null) {
            sink.accept(event);
        } else {
            System.err.println(jsonOutput ? asJson(event) : "sidecar: " + event.text());
        }
    }

    private static String asJson(LogEvent event) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("atMs", System.currentTimeMillis());
        line.put("level", event.isFault() ? "error" : "info");
        line.put("event", event.name());
        line.put("text", event.text());
        line.putAll(event.fields());
        return new String(JsonObject.write(line), StandardCharsets.UTF_8);
    }
}
