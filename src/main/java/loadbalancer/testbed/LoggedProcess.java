package loadbalancer.testbed;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Predicate;

/** A process of this program whose log is read as it comes, and which may be paused and ended. */
public class LoggedProcess implements AutoCloseable {
    private static final int MOST_WAIT_S = 60;

    private record Awaited(Predicate<String> line, CompletableFuture<String> came) {}

    private final String name;
    private final Process process;
    private final long startedUs = System.currentTimeMillis() * 1000;
    private final List<String> log = new ArrayList<>();
    private final List<Awaited> awaited = new CopyOnWriteArrayList<>();

    /** Starts it; its output and errors are one log. */
    LoggedProcess(String name, ProcessBuilder builder) throws IOException {
        this.name = name;
        process = builder.redirectErrorStream(true).start();
    }

    /** To be called once, when the process that extends this one is made. */
    final void readLog() {
        Thread reader = new Thread(this::read, "log of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    private void read() {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line; (line = in.readLine()) != null; ) {
                said(line);
                synchronized (log) {
                    log.add(line);
                    for (Awaited a : awaited) {
                        if (a.line.test(line)) {
                            a.came.complete(line);
                        }
                    }
                }
            }
        } catch (IOException exception) {
            // it ended
        }
        IOException ended = new IOException(name + " ended: " + log());
        ended(ended);
        awaited.forEach(a -> a.came.completeExceptionally(ended));
    }

    /** Told of each line before anybody who waits for one; on the thread that reads. */
    void said(String line) {}

    /** Told once that no more lines come. */
    void ended(IOException why) {}

    /** Its name in messages. */
    public String name() {
        return name;
    }

    /** The process itself. */
    public Process process() {
        return process;
    }

    /** Tells it that its configuration has changed. */
    public void hangUp() throws IOException, InterruptedException {
        signal("HUP");
    }

    /** It stands still, at whatever instruction, until it is told to go on. */
    public void pause() throws IOException, InterruptedException {
        signal("STOP");
    }

    /** Lets it go on. */
    public void goOn() throws IOException, InterruptedException {
        signal("CONT");
    }

    private void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                .start()
                .waitFor();
    }

    /** Waits for a line of its log, past or to come. */
    public String awaitLog(String part) throws Exception {
        return awaitLog(l -> l.contains(part), "'" + part + "'");
    }

    /** Waits for the first such line of its log, past or to come. */
    public String awaitLog(Predicate<String> line) throws Exception {
        return awaitLog(line, "what was waited for");
    }

    private String awaitLog(Predicate<String> wanted, String what) throws Exception {
        Awaited a = new Awaited(wanted, new CompletableFuture<>());
        synchronized (log) {
            for (String line : log) {
                if (a.line.test(line)) {
                    return line;
                }
            }
            awaited.add(a);
        }
        try {
            return a.came.get(MOST_WAIT_S, TimeUnit.SECONDS);
        } catch (TimeoutException exception) {
            throw new IOException(name + " never said " + what + ": " + log());
        } finally {
            awaited.remove(a);
        }
    }

    /** What it has said so far. */
    public List<String> log() {
        synchronized (log) {
            return List.copyOf(log);
        }
    }

    /** When it was started, in Unix time, microseconds. */
    public long startedUs() {
        return startedUs;
    }

    /** SIGTERM, then its exit code. */
    public int terminate() throws InterruptedException {
        // Not the process itself, which would close its log with it: what it says of its end is wanted.
        process.toHandle().destroy();
        return process.waitFor(30, TimeUnit.SECONDS) ? process.exitValue() : -1;
    }

    @Override
    public void close() {
        process.destroyForcibly();
        process.onExit().join();
    }
}
