package loadbalancer.core;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One log event: a name and fields for programs, a text for people. Built and emitted in one expression, {@code
 * LogEvent.info("disk").field("file", path).message("list not stored: " + path).emit()}. Events are never emitted per
 * request.
 */
public final class LogEvent {
    private final String name;
    private final boolean fault;
    private final Map<String, Object> fields = new LinkedHashMap<>();
    private String text = "";

    private LogEvent(String name, boolean fault) {
        this.name = name;
        this.fault = fault;
    }

    /** Starts an informational event for operators. */
    public static LogEvent info(String name) {
        return new LogEvent(name, false);
    }

    /** Starts an event for a fault of this program. */
    public static LogEvent fault(String name) {
        return new LogEvent(name, true);
    }

    /** Appends a field; {@code value} is a string, a number, a boolean or null. */
    public LogEvent field(String key, Object value) {
        fields.put(key, value);
        return this;
    }

    /** Sets the text for people. */
    public LogEvent message(String message) {
        text = message;
        return this;
    }

    /** Passes the event to the current thread's sink, or prints it to standard error if there is none. */
    public void emit() {
        Log.emit(this);
    }

    /** Name by which programs recognize the event. */
    public String name() {
        return name;
    }

    /** Whether it reports a fault of this program. */
    public boolean isFault() {
        return fault;
    }

    /** The text for people; empty if not set. */
    public String text() {
        return text;
    }

    /** The fields, in the order in which they were added. */
    public Map<String, Object> fields() {
        return Collections.unmodifiableMap(fields);
    }
}
