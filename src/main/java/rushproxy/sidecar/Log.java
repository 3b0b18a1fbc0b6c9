package rushproxy.sidecar;

/** One line to standard error for what an operator should know; nothing for a single request. */
final class Log {
    private Log() {}

    static void line(String text) {
        System.err.println("rushproxy: " + text);
    }

    /** A fault of this program: with the lines at which it arose. */
    static void trouble(String what, Throwable e) {
        StringBuilder text = new StringBuilder(what).append(": ").append(e);
        StackTraceElement[] trace = e.getStackTrace();
        for (int i = 0; i < Math.min(4, trace.length); i++) {
            text.append(" at ").append(trace[i]);
        }
        line(text.toString());
    }
}
