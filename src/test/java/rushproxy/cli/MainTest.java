package rushproxy.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The program as its platform starts and ends it. */
@Timeout(120)
class MainTest {
    @TempDir
    Path folder;

    private Process start(String config, String... before) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, config);
        List<String> command = new ArrayList<>(List.of(before));
        command.addAll(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp", System.getProperty("java.class.path"), "rushproxy.cli.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(k -> k.startsWith("BALANCER_"));
        builder.environment().put("BALANCER_CONFIG", file.toString());
        builder.environment().put("BALANCER_DISCOVERY", "127.0.0.1:9");
        builder.redirectError(folder.resolve("log").toFile());
        return builder.start();
    }

    private List<String> log() throws Exception {
        return Files.readString(folder.resolve("log"), StandardCharsets.UTF_8).lines()
                .filter(l -> !l.startsWith("Picked up ")).toList();
    }

    @Test
    void aBrokenConfigurationEndsItWithOneLine() throws Exception {
        Process p = start("{\"name\":\"n\"}");
        assertEquals(2, p.waitFor());
        assertEquals(1, log().size(), log().toString());
        assertTrue(log().get(0).contains("'settings' is missing"), log().toString());
    }

    private static final String CONFIG = """
            {"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1","peer_listen":"127.0.0.1:0",
             "known":{"generation":1,"reset":true,"instances":[]},
             "settings":{"me":0,"balancers":1,"zone":"z","discovery":"on_request",
              "profiles":[{"name":"c","semantics":"safe","objective_us":1,"give_up_us":1}],
              "rules":{"drain_grace_us":1,"cold_share":0.2,"ramp_time_us":1,"fall_multiple":3,"fall_us":1}}}""";

    private void awaitLine(Process p, String part) throws Exception {
        while (log().stream().noneMatch(l -> l.contains(part))) {
            assertTrue(p.isAlive(), "it ended: " + log());
            Thread.sleep(20);
        }
    }

    private static void hangUp(Process p) throws Exception {
        assertEquals(0, new ProcessBuilder("kill", "-HUP", "" + p.pid()).start().waitFor());
    }

    /** SIGHUP ends a program that does not handle it. The file's word holds then, also against the environment's. */
    @Test
    void toldOfANewConfigurationItServesOnWithIt() throws Exception {
        Process p = start(CONFIG);
        awaitLine(p, " serves on ");
        Files.writeString(folder.resolve("config.json"), CONFIG.replace("127.0.0.1:9", "127.0.0.2:9"));
        hangUp(p);
        awaitLine(p, "discovery is now at /127.0.0.2:9");
        Files.writeString(folder.resolve("config.json"), "{");
        hangUp(p);
        awaitLine(p, "goes on as before: ");
        assertTrue(p.isAlive());
        p.destroy();
        assertTrue(p.waitFor(60, TimeUnit.SECONDS));
        assertEquals(0, p.exitValue(), log().toString());
    }

    private static final String[] NO_HANG_UP = {"sh", "-c", "trap '' HUP; exec \"$@\"", "sh"};

    /** Under nohup the signal never comes: on a day on which discovery moved, half of the service was lost to that. */
    @Test
    void startedWithTheSignalIgnoredItSaysSo() throws Exception {
        Process p = start(CONFIG, NO_HANG_UP);
        awaitLine(p, " serves on ");
        assertTrue(log().get(0).contains("SIGHUP is ignored by whoever started this"), log().toString());
        p.destroy();
        assertTrue(p.waitFor(60, TimeUnit.SECONDS));
    }

    /** The line {@code run} takes the signal back, whoever gave it away. */
    @Test
    void startedAsInTheDeployFileItHearsTheSignalAllTheSame() throws Exception {
        String run = Files.readString(Path.of("deploy/balancer.toml")).lines().filter(l -> l.startsWith("run = "))
                .findFirst().orElse("");
        String[] start = run.substring(run.indexOf("exec ") + 5, run.indexOf(" java ")).split(" ");
        List<String> before = new ArrayList<>(List.of(NO_HANG_UP));
        before.addAll(List.of(start));
        Process p = start(CONFIG, before.toArray(String[]::new));
        awaitLine(p, " serves on ");
        Files.writeString(folder.resolve("config.json"), CONFIG.replace("127.0.0.1:9", "127.0.0.2:9"));
        hangUp(p);
        awaitLine(p, "discovery is now at /127.0.0.2:9");
        p.destroy();
        assertTrue(p.waitFor(60, TimeUnit.SECONDS));
    }

    /** Asked to end it exits with 0 once it is empty, which a signal's own exit code would not tell. */
    @Test
    void askedToEndItExitsWithZero() throws Exception {
        Process p = start(CONFIG);
        awaitLine(p, " serves on ");
        p.destroy();
        assertTrue(p.waitFor(60, TimeUnit.SECONDS));
        assertEquals(0, p.exitValue(), log().toString());
    }
}
