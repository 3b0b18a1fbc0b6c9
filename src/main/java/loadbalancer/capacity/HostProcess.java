package loadbalancer.capacity;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.locks.LockSupport;

/** A child process that hosts minimal members. Stopped by {@link #close}; exits by itself when this process ends. */
final class HostProcess implements AutoCloseable {
    private static final long ANSWER_TIMEOUT_MILLIS = 60_000;
    private static final long POLL_INTERVAL_NANOS = 200_000;

    private final int first;
    private final int last;
    private final Process process;
    private final BufferedWriter commands;
    private final BufferedReader answers;
    private final List<Integer> ports;

    /**
     * Starts a {@link MinimalSidecarHost} with the members from {@code first} to before {@code until} and waits until
     * their sockets are open.
     */
    HostProcess(ScaleFleet fleet, int first, int until) throws IOException {
        this(
                MinimalSidecarHost.class,
                List.of(
                        fleet.name(),
                        String.valueOf(fleet.members()),
                        String.valueOf(fleet.voters()),
                        String.valueOf(fleet.leaseMicros() / 1_000),
                        String.valueOf(fleet.seed())),
                first,
                until);
    }

    /**
     * Starts a program with these arguments, followed by {@code first} and {@code until}, and waits for its line of
     * ports.
     */
    HostProcess(Class<?> program, List<String> arguments, int first, int until) throws IOException {
        this.first = first;
        last = until - 1;
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:-UsePerfData",
                "-Xss512k",
                "-Xmx512m",
                "-cp",
                System.getProperty("java.class.path"),
                program.getName()));
        command.addAll(arguments);
        command.add(String.valueOf(first));
        command.add(String.valueOf(until));
        process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .directory(new File("."))
                .start();
        commands = new BufferedWriter(new OutputStreamWriter(process.getOutputStream(), StandardCharsets.UTF_8));
        answers = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        ports = Arrays.stream(readAnswer().trim().split(" "))
                .map(Integer::valueOf)
                .toList();
    }

    /** Ports of the members' sockets, ordered by member number. */
    List<Integer> ports() {
        return ports;
    }

    int memberCount() {
        return last - first + 1;
    }

    boolean hosts(int member) {
        return member >= first && member <= last;
    }

    /**
     * Sends a command without waiting for the answer, so that several hosts can work at once; see {@link #readAnswer}.
     */
    void send(String command) throws IOException {
        commands.write(command);
        commands.newLine();
        commands.flush();
    }

    /** @throws IOException if the process has exited or does not answer within {@link #ANSWER_TIMEOUT_MILLIS} */
    String readAnswer() throws IOException {
        long deadlineNanos = System.nanoTime() + ANSWER_TIMEOUT_MILLIS * 1_000_000;
        while (!answers.ready() && process.isAlive()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IOException("the host of members " + first + " to " + last + " does not answer");
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
        String line = answers.readLine();
        if (line == null) {
            throw new IOException("the host of members " + first + " to " + last + " has exited");
        }
        return line;
    }

    /** Sends a command and waits for its answer. */
    String ask(String command) throws IOException {
        send(command);
        return readAnswer();
    }

    /** Sends a command to all hosts, which work at once, and returns their answers in the same order. */
    static List<String> askAll(List<HostProcess> hosts, String command) throws IOException {
        for (HostProcess host : hosts) {
            host.send(command);
        }
        List<String> answers = new ArrayList<>();
        for (HostProcess host : hosts) {
            answers.add(host.readAnswer());
        }
        return answers;
    }

    /** Sum of the resources that these hosts have used since they were started. */
    static ResourceUsage usage(List<HostProcess> hosts) throws IOException {
        ResourceUsage sum = null;
        for (HostProcess host : hosts) {
            ResourceUsage usage = ResourceUsage.parse(host.ask("usage"));
            sum = sum == null ? usage : sum.plus(usage);
        }
        return sum;
    }

    @Override
    public void close() {
        process.destroyForcibly();
        process.onExit().join();
    }
}
