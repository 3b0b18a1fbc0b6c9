package loadbalancer.consensus.audit;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import loadbalancer.json.JsonObject;
import loadbalancer.toml.ConfigurationException;

/**
 * Reads the events of policy changes from the sidecars' JSON logs, one file for each sidecar. Other events only show
 * that the sidecar's process was alive.
 */
public final class PolicyLogReader {
    private PolicyLogReader() {}

    /**
     * Reads all logs in a folder.
     *
     * @throws ConfigurationException if a file can't be read, or a line is malformed
     */
    public static PolicyHistory read(Path folder) throws ConfigurationException {
        PolicyHistory history = new PolicyHistory();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.filter(Files::isRegularFile).sorted().toList()) {
                read(history, file.getFileName().toString(), Files.readAllLines(file, StandardCharsets.UTF_8));
            }
        } catch (IOException exception) {
            throw new ConfigurationException(folder + ": can't be read: " + exception);
        }
        return history;
    }

    /**
     * Reads the lines of one log.
     *
     * @param log name of the sidecar's log
     * @throws ConfigurationException if a line is malformed
     */
    public static void read(PolicyHistory history, String log, List<String> lines) throws ConfigurationException {
        for (int index = 0; index < lines.size(); index++) {
            String line = lines.get(index);
            if (!line.startsWith("{")) {
                continue;
            }
            try {
                add(history, log, JsonObject.parse(line.getBytes(StandardCharsets.UTF_8)));
            } catch (IllegalArgumentException exception) {
                throw new ConfigurationException(
                        log + ":" + (index + 1) + ": not an event of a sidecar's log: " + exception.getMessage());
            }
        }
    }

    /**
     * Adds the event of a line. A sidecar logs {@code serves} when it starts; {@code policy.joint} or
     * {@code policy.settled} when it adopts a stage; {@code policy.sure} when it has a valid lease on its unchanged
     * settled stage again; and {@code policy.careful} when it has no valid lease. Event names are stored in
     * logs and so never change.
     */
    private static void add(PolicyHistory history, String log, JsonObject line) {
        long atMillis = line.integer("atMs");
        history.recordAlive(log, atMillis);
        switch (line.string("event")) {
            case "serves" -> history.recordRestart(log, atMillis);
            case "policy.joint", "policy.settled", "policy.sure" -> history.add(new PolicyHistory.Event(
                    log,
                    atMillis,
                    line.string("era"),
                    line.integer("index"),
                    line.string("from"),
                    line.string("version")));
            case "policy.careful" -> {
                // A paused process logs the event when it resumes, which may be some time after its lease expired.
                long expiredMillis = atMillis - line.integerOr("ago_ms", 0);
                String era = line.stringOr("era", "none");
                history.add(new PolicyHistory.Event(log, expiredMillis, era, PolicyHistory.Event.NO_STAGE, "", ""));
            }
            default -> {
                // Other events only show that the process was alive.
            }
        }
    }
}
