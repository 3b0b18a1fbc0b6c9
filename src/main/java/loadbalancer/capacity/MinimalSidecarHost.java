package loadbalancer.capacity;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import loadbalancer.consensus.ConsensusNode;
import loadbalancer.core.Clock;

/**
 * A process that hosts minimal sidecars with consecutive numbers. Reads commands from standard input, one per line, and
 * answers each with one line. Exits when its input ends, so that no host outlives the process that started it.
 *
 * <p>Arguments: fleet name, members, voters, lease in milliseconds, seed, first member number, and the number after the
 * last. The first line printed has the ports of the hosted members. Commands: {@code peers ENTRY...} (a port, or the IP
 * address of a real sidecar), {@code start}, {@code usage}, {@code sure} (answers how many members are ready),
 * {@code propose NUMBER TEXT}, {@code settled TEXT} (answers how many adoptions of this content there were and when the
 * last one was), {@code silence NUMBER 0|1}, {@code restart NUMBER}, {@code cut FROM UNTIL} (a partition; {@code UNTIL}
 * is exclusive), {@code lose FRACTION}, {@code load REQUESTS_PER_SECOND}, {@code requests}, {@code heap},
 * {@code from NUMBER} (answers how many datagrams were received from this member).
 */
public final class MinimalSidecarHost {
    private static final int ARGUMENT_COUNT = 7;

    private final ScaleFleet fleet;
    private final EventLoop loop;
    private final MemberDirectory directory;
    private final TrafficCounters traffic = new TrafficCounters();
    private final AdoptionLog adoptions = new AdoptionLog();
    private final Clock clock = new Clock();
    private final List<MinimalSidecar> sidecars = new ArrayList<>();
    private final int first;

    private MinimalSidecarHost(ScaleFleet fleet, EventLoop loop, int first, int until) {
        this.fleet = fleet;
        this.loop = loop;
        this.first = first;
        directory = new MemberDirectory(fleet.members(), fleet.seed() + first);
        for (int number = first; number < until; number++) {
            sidecars.add(new MinimalSidecar(number, fleet, loop, clock, directory, traffic, adoptions));
        }
    }

    /** Hosts sidecars until standard input ends; see the class for the arguments. */
    public static void main(String[] args) throws Exception {
        if (args.length != ARGUMENT_COUNT) {
            System.err.println("expected " + ARGUMENT_COUNT + " arguments, found " + args.length);
            System.exit(2);
        }
        ScaleFleet fleet = new ScaleFleet(
                args[0],
                Integer.parseInt(args[1]),
                Integer.parseInt(args[2]),
                Long.parseLong(args[3]) * 1_000,
                Long.parseLong(args[4]));
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        new MinimalSidecarHost(fleet, group.next(), Integer.parseInt(args[5]), Integer.parseInt(args[6])).serve();
        System.exit(0);
    }

    private void serve() throws Exception {
        StringBuilder ports = new StringBuilder();
        for (MinimalSidecar sidecar : sidecars) {
            ports.append(sidecar.open()).append(' ');
        }
        System.out.println(ports.toString().trim());
        try (BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
            for (String line; (line = in.readLine()) != null; ) {
                String command = line;
                Callable<String> task = () -> execute(command.split(" "));
                System.out.println(loop.submit(task).get());
            }
        }
    }

    /** Executes a command, split at spaces, on the event loop, and returns its answer. */
    private String execute(String[] words) throws IOException {
        switch (words[0]) {
            case "peers" -> setPeers(words);
            case "start" -> sidecars.forEach(MinimalSidecar::start);
            case "usage" -> {
                return ResourceUsage.ofThisProcess(clock.nowMicros(), traffic).line();
            }
            case "sure" -> {
                return String.valueOf(
                        sidecars.stream().filter(MinimalSidecar::isReady).count());
            }
            case "propose" -> {
                String rejection = member(words[1]).propose(content(words[2]));
                return rejection == null ? String.valueOf(clock.nowMicros()) : "refused " + rejection;
            }
            case "settled" -> {
                AdoptionLog.Progress progress = adoptions.progress(ConsensusNode.versionOf(content(words[1])));
                return progress.adoptions() + " " + progress.lastMicros();
            }
            case "silence" -> member(words[1]).setSilent(words[2].equals("1"));
            case "restart" -> member(words[1]).start();
            case "cut" -> directory.partition(Integer.parseInt(words[1]), Integer.parseInt(words[2]));
            case "load" -> sidecars.forEach(sidecar -> sidecar.startRequests(Double.parseDouble(words[1])));
            case "requests" -> {
                return String.valueOf(
                        sidecars.stream().mapToLong(MinimalSidecar::requests).sum());
            }
            case "from" -> {
                return String.valueOf(traffic.datagramsFrom(Integer.parseInt(words[1])));
            }
            case "heap" -> {
                return String.valueOf(ProcessMemory.heapKilobytes());
            }
            case "lose" -> directory.setLossRate(Double.parseDouble(words[1]));
            default -> throw new IllegalArgumentException("unknown command '" + words[0] + "'");
        }
        return "ok";
    }

    private MinimalSidecar member(String number) {
        return sidecars.get(Integer.parseInt(number) - first);
    }

    private static byte[] content(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private void setPeers(String[] words) throws UnknownHostException {
        for (int i = 1; i < words.length; i++) {
            if (words[i].indexOf('.') >= 0) {
                directory.putRealSidecar(i - 1, InetAddress.getByName(words[i]));
            } else {
                directory.put(i - 1, new InetSocketAddress("127.0.0.1", Integer.parseInt(words[i])));
            }
        }
    }
}
