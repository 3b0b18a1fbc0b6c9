package loadbalancer.testbed;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import loadbalancer.core.Addresses;

/** A real replica of the control tier as a process of its own, from the same jar or classes as this stage. */
public final class ReplicaProcess extends LoggedProcess {
    private static final Pattern ADMIN = Pattern.compile(".*operators call at [^/]*/([0-9.]+:[0-9]+).*");

    /** @param file the replica's file */
    public ReplicaProcess(String name, Path file) throws IOException {
        super(name, command(file));
        readLog();
    }

    private static ProcessBuilder command(Path file) {
        List<String> command = new ArrayList<>(SidecarProcess.java());
        command.addAll(List.of("loadbalancer.cli.Main", "control", "run", file.toString()));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().remove("JAVA_TOOL_OPTIONS");
        return builder;
    }

    /** Where operators call it; waits until it listens. */
    public InetSocketAddress adminAddress() throws Exception {
        Matcher matcher = ADMIN.matcher(awaitLog("operators call at "));
        if (!matcher.matches()) {
            throw new IOException("no address in its log: " + log());
        }
        return Addresses.parse(matcher.group(1));
    }
}
