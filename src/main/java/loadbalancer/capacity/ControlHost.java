package loadbalancer.capacity;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import loadbalancer.consensus.ConsensusNode;
import loadbalancer.core.Clock;

/**
 * A process that hosts control replicas, or the control parts of sidecars, with consecutive numbers. Reads commands
 * from standard input, one per line, and answers each with one line. Exits when its input ends, so that no host
 * outlives the process that started it.
 *
 * <p>Arguments: those of {@link ControlFleet}, the first member number, and the number after the last. The first line
 * printed has the ports of the hosted members. Commands: {@code peers PORT...}, {@code start}, {@code usage},
 * {@code sure} (answers how many members are ready), {@code propose NUMBER SCOPE TEXT}, {@code settled TEXT} (answers
 * how many adoptions of this content there were and when the last one was), {@code silence NUMBER},
 * {@code restart NUMBER}, {@code heap}.
 */
public final class ControlHost {
    private final int first;
    private final EventLoop loop;
    private final Clock clock = new Clock();
    private final MemberDirectory directory;
    private final TrafficCounters traffic = new TrafficCounters();
    private final AdoptionLog adoptions = new AdoptionLog();
    private final List<MinimalControlMember> members = new ArrayList<>();

    private ControlHost(ControlFleet fleet, EventLoop loop, int first, int until) {
        this.first = first;
        this.loop = loop;
        directory = new MemberDirectory(fleet.processes(), first);
        for (int number = first; number < until; number++) {
            members.add(new MinimalControlMember(number, fleet, loop, clock, directory, traffic, adoptions));
        }
    }

    /** Hosts members until standard input ends; see the class for the arguments. */
    public static void main(String[] args) throws Exception {
        ControlFleet fleet = ControlFleet.parse(List.of(args));
        int first = Integer.parseInt(args[args.length - 2]);
        int until = Integer.parseInt(args[args.length - 1]);
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        new ControlHost(fleet, group.next(), first, until).serve();
        System.exit(0);
    }

    private void serve() throws Exception {
        StringBuilder ports = new StringBuilder();
        for (MinimalControlMember member : members) {
            ports.append(member.open()).append(' ');
        }
        System.out.println(ports.toString().trim());
        try (BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
            for (String line; (line = in.readLine()) != null; ) {
                String[] command = line.split(" ");
                Callable<String> task = () -> execute(command);
                System.out.println(loop.submit(task).get());
            }
        }
    }

    /** Executes a command, split at spaces, on the event loop, and returns its answer. */
    private String execute(String[] command) throws IOException {
        switch (command[0]) {
            case "peers" -> setPeers(command);
            case "start" -> members.forEach(MinimalControlMember::start);
            case "silence" -> member(command[1]).silence();
            case "restart" -> member(command[1]).start();
            case "usage" -> {
                return ResourceUsage.ofThisProcess(clock.nowMicros(), traffic).line();
            }
            case "heap" -> {
                return String.valueOf(ProcessMemory.heapKilobytes());
            }
            case "sure" -> {
                return String.valueOf(
                        members.stream().filter(MinimalControlMember::isReady).count());
            }
            case "propose" -> {
                String rejection = member(command[1]).propose(Integer.parseInt(command[2]), content(command[3]));
                return rejection == null ? String.valueOf(clock.nowMicros()) : "refused " + rejection;
            }
            case "settled" -> {
                AdoptionLog.Progress progress = adoptions.progress(ConsensusNode.versionOf(content(command[1])));
                return progress.adoptions() + " " + progress.lastMicros();
            }
            default -> throw new IllegalArgumentException("unknown command '" + command[0] + "'");
        }
        return "ok";
    }

    private MinimalControlMember member(String number) {
        return members.get(Integer.parseInt(number) - first);
    }

    private static byte[] content(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private void setPeers(String[] command) {
        for (int i = 1; i < command.length; i++) {
            directory.put(i - 1, new InetSocketAddress("127.0.0.1", Integer.parseInt(command[i])));
        }
    }
}
