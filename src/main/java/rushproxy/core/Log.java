package rushproxy.core;

/** One line to standard error for what an operator should know; nothing for a single request. */
public final class Log {
    private Log() {}

    public static void line(String text) {
        System.err.println("rushproxy: " + text);
    }

    /** A fault of this program: with the lines at which it arose. */
    public static void trouble(String what, Throwable e) {
        StringBuilder text = new StringBuilder(what).append(": ").append(e);
        StackTraceElement[] trace = e.getStackTrace();
        for (int i = 0; i < Math.min(4, trace.length); i++) {
            text.append(" at ").append(trace[i]);
        }
        line(text.toString());
    }
}
