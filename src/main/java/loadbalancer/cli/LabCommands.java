package loadbalancer.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.json.JsonObject;
import loadbalancer.operator.OperatorConfiguration;
import loadbalancer.operator.OperatorFile;
import loadbalancer.sidecar.Engine;
import loadbalancer.simulation.Runner;
import loadbalancer.simulation.SimulatedFleet;
import loadbalancer.simulation.SimulationRun;
import loadbalancer.simulation.accounting.FleetAccount;
import loadbalancer.simulation.fuzz.ParserFuzzer;
import loadbalancer.simulation.report.HtmlReport;
import loadbalancer.simulation.scenario.Scenario;
import loadbalancer.simulation.scenario.ScenarioFile;
import loadbalancer.simulation.search.BootstrapInterval;
import loadbalancer.simulation.search.FaultSearch;
import loadbalancer.simulation.search.ParameterSweep;
import loadbalancer.testbed.fleet.FleetProcesses;
import loadbalancer.toml.ConfigurationException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;

/** The laboratory: a fleet in one process on virtual time. Exit code 0: it holds; 1: it falls short; 2: wrong input. */
@Command(
        name = "lab",
        description =
                "A fleet in one process on virtual time: plays scenarios, sweeps over settings, searches for faults.",
        subcommands = {
            LabCommands.Run.class,
            LabCommands.Sweeps.class,
            LabCommands.Find.class,
            LabCommands.Replay.class,
            LabCommands.OnProcesses.class,
            LabCommands.Accounts.class,
            LabCommands.Fuzzing.class,
            LabCommands.Shipped.class,
            LabCommands.Pages.class,
            CommandLine.HelpCommand.class
        })
final class LabCommands {
    private LabCommands() {}

    /** What all that play have in common. */
    static final class Play {
        @Option(
                names = {"-j", "--jobs"},
                paramLabel = "N",
                description = "days at the same time (default: as many as cores)")
        private int jobs;

        @Option(
                names = "--set",
                paramLabel = "KEY=VALUE",
                description = "another value for a key of the scenario, such as fleet.nodes=20")
        private List<String> sets = new ArrayList<>();

        @Option(
                names = "--operator",
                paramLabel = "FILE",
                description = "the operator's file that sidecars have, in place of the scenario's [operator]")
        private String operator;

        @Option(
                names = "--json",
                paramLabel = "FILE",
                description = "a line of JSON for each day; - for standard output")
        private String json;

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        int jobs() {
            if (jobs < 0 || jobs > 256) {
                throw wrong("--jobs: expected 1 to 256, found " + jobs);
            }
            return jobs == 0 ? Runtime.getRuntime().availableProcessors() : jobs;
        }

        Map<String, Object> instead() {
            Map<String, Object> all = new LinkedHashMap<>();
            for (String s : sets) {
                int equals = s.indexOf('=');
                if (equals <= 0) {
                    throw wrong("--set: expected KEY=VALUE, found " + s);
                }
                all.put(s.substring(0, equals), ParameterSweep.Axis.plain(s.substring(equals + 1)));
            }
            return all;
        }

        /** Null for the scenario's own. */
        OperatorConfiguration operator() throws ConfigurationException {
            return operator == null ? null : OperatorFile.read(operator);
        }

        /** As it is to be played; {@code seed}: null for its own. */
        Scenario scenario(String name, Integer seed) throws IOException, ConfigurationException {
            OperatorConfiguration of = operator();
            Scenario s = ScenarioFile.read(name, instead());
            s = of == null ? s : s.with(of);
            return seed == null ? s : s.with(s.faults(), seed);
        }

        ParameterException wrong(String what) {
            return new ParameterException(spec.commandLine(), what);
        }

        /** Days go there as they come; nothing where nobody asked. */
        JsonLines lines() throws IOException {
            return new JsonLines(json);
        }

        boolean toStandardOutput() {
            return "-".equals(json);
        }
    }

    /** A line for each day. */
    private static final class JsonLines implements AutoCloseable {
        private final PrintStream to;
        private final boolean own;

        JsonLines(String file) throws IOException {
            own = file != null && !file.equals("-");
            to = file == null
                    ? null
                    : own
                            ? new PrintStream(Files.newOutputStream(Path.of(file)), true, StandardCharsets.UTF_8)
                            : System.out;
        }

        void add(SimulationRun d) {
            add(d.asMap());
        }

        void add(Map<String, Object> line) {
            if (to != null) {
                to.println(new String(JsonObject.write(line), StandardCharsets.UTF_8));
            }
        }

        @Override
        public void close() {
            if (own) {
                to.close();
            }
        }
    }

    /** Prints what comes, says what is left, and on ^C lets go of what has not been played. */
    private static final class Watch implements AutoCloseable {
        private final Runner runner;
        private final CountDownLatch printed = new CountDownLatch(1);
        private final Thread hook;
        private final int all;
        private int done;
        private final long begun = System.nanoTime();

        Watch(Runner runner, int all) {
            this.runner = runner;
            this.all = all;
            hook = new Thread(() -> {
                runner.stop();
                try {
                    printed.await(10, TimeUnit.SECONDS);
                } catch (InterruptedException exception) {
                    Thread.currentThread().interrupt();
                }
            });
            Runtime.getRuntime().addShutdownHook(hook);
        }

        void one() {
            done++;
            if (System.console() != null && done < all) {
                double s = (System.nanoTime() - begun) / 1e9;
                System.err.printf(Locale.ROOT, "%d of %d days, %.0f s left   \r", done, all, s / done * (all - done));
            }
        }

        @Override
        public void close() {
            if (runner.stopped()) {
                System.err.println("stopped: " + done + " of " + all + " days were played");
            }
            printed.countDown();
            try {
                Runtime.getRuntime().removeShutdownHook(hook);
            } catch (IllegalStateException exception) {
                // It is running: this is the end it waits for.
            }
        }
    }

    private static void page(String file, String html) throws IOException {
        Files.writeString(Path.of(file), html);
        System.err.println("wrote " + file);
    }

    private static JsonObject json(SimulationRun d) {
        return JsonObject.parse(JsonObject.write(d.asMap()));
    }

    private static int days(List<Scenario> scenarios, Play play, String report, String log) throws Exception {
        List<SimulationRun> played;
        try (Runner runner = new Runner(log == null ? play.jobs() : 1);
                Watch watch = new Watch(runner, scenarios.size());
                JsonLines lines = play.lines();
                PrintStream to = log == null
                        ? null
                        : new PrintStream(Files.newOutputStream(Path.of(log)), false, StandardCharsets.UTF_8)) {
            List<Callable<SimulationRun>> days = new ArrayList<>();
            for (Scenario s : scenarios) {
                Consumer<String> each = to == null ? null : to::println;
                days.add(() -> new SimulatedFleet(s, Engine.balancer(s.operator()), each).play());
            }
            played = runner.play(days, d -> {
                watch.one();
                lines.add(d);
                if (!play.toStandardOutput()) {
                    System.out.println(d.line());
                    d.checks().stream()
                            .filter(c -> !c.holds())
                            .forEach(c -> System.out.println(
                                    "    " + c.what() + ": wanted " + c.wanted() + ", found " + c.found()));
                }
            });
        }
        if (report != null) {
            page(report, HtmlReport.days(played.stream().map(LabCommands::json).toList()));
        }
        return played.size() == scenarios.size() && played.stream().allMatch(SimulationRun::holds) ? 0 : 1;
    }

    @Command(
            name = "run",
            description = "Plays scenarios, and says whether what they expect holds.",
            mixinStandardHelpOptions = true)
    static final class Run implements Callable<Integer> {
        @Parameters(
                paramLabel = "SCENARIO",
                arity = "0..*",
                description = "files, or names of those that are shipped (default: all of them)")
        private List<String> names = new ArrayList<>();

        @Mixin
        private Play play;

        @Option(
                names = "--seeds",
                paramLabel = "N",
                defaultValue = "1",
                description = "so many days of each, from its seed on (1 to 10000)")
        private int seeds;

        @Option(names = "--report", paramLabel = "FILE", description = "a page of HTML with plots")
        private String report;

        @Option(names = "--log", paramLabel = "FILE", description = "each event as a line; one day after the other")
        private String log;

        @Override
        public Integer call() throws Exception {
            if (seeds < 1 || seeds > 10_000) {
                throw play.wrong("--seeds: expected 1 to 10000, found " + seeds);
            }
            List<Scenario> all = new ArrayList<>();
            for (String name : names.isEmpty() ? ScenarioFile.SHIPPED : names) {
                Scenario s = play.scenario(name, null);
                for (int k = 0; k < seeds; k++) {
                    all.add(s.with(s.faults(), s.seed() + k));
                }
            }
            return days(all, play, report, log);
        }
    }

    @Command(
            name = "processes",
            description =
                    "Plays a scenario on real sidecar processes on loopback sockets, and beside it in the laboratory.",
            mixinStandardHelpOptions = true)
    static final class OnProcesses implements Callable<Integer> {
        @Parameters(paramLabel = "SCENARIO")
        private String name;

        @Mixin
        private Play play;

        @Override
        public Integer call() throws Exception {
            Scenario s = play.scenario(name, null);
            try (FleetProcesses fleet = new FleetProcesses(s, false)) {
                FleetProcesses.Played played = fleet.play();
                System.out.println(played.line());
                System.out.println("by second  "
                        + played.bySecond().stream()
                                .map(d -> String.format(Locale.ROOT, "%.2f", d))
                                .toList());
                System.out.println("laboratory "
                        + new SimulatedFleet(s, Engine.balancer(s.operator()), null)
                                .play()
                                .line());
                return played.verdict().fouls() == 0 ? 0 : 1;
            }
        }
    }

    @Command(
            name = "replay",
            description = "Plays one day again, with each event as a line.",
            mixinStandardHelpOptions = true)
    static final class Replay implements Callable<Integer> {
        @Parameters(paramLabel = "SCENARIO")
        private String name;

        @Mixin
        private Play play;

        @Option(names = "--seed", paramLabel = "N", description = "of a day of this scenario")
        private Integer seed;

        @Option(names = "--report", paramLabel = "FILE", description = "a page of HTML with plots")
        private String report;

        @Option(
                names = "--log",
                paramLabel = "FILE",
                defaultValue = "events.log",
                description = "where (default: ${DEFAULT-VALUE})")
        private String log;

        @Override
        public Integer call() throws Exception {
            return days(List.of(play.scenario(name, seed)), play, report, log);
        }
    }

    @Command(
            name = "account",
            description = "Plays one day and says what the whole fleet spent, second by second, and on whom.",
            mixinStandardHelpOptions = true)
    static final class Accounts implements Callable<Integer> {
        @Parameters(paramLabel = "SCENARIO")
        private String name;

        @Mixin
        private Play play;

        @Option(names = "--seed", paramLabel = "N", description = "of a day of this scenario")
        private Integer seed;

        @Option(
                names = "--every",
                paramLabel = "S",
                defaultValue = "1",
                description = "a line for so many seconds (default: ${DEFAULT-VALUE})")
        private int every;

        @Override
        public Integer call() throws Exception {
            if (every < 1 || every > 86_400) {
                throw play.wrong("--every: expected 1 to 86400, found " + every);
            }
            Scenario s = play.scenario(name, seed);
            FleetAccount account = new FleetAccount((int) Math.max(1, (s.fleet().lengthUs() + 999_999) / 1_000_000));
            SimulationRun day = new SimulatedFleet(s, Engine.balancer(s.operator()), null, account).play();
            try (JsonLines lines = play.lines()) {
                Map<String, Object> line = new LinkedHashMap<>();
                line.put("scenario", s.name());
                line.put("seed", s.seed());
                line.putAll(account.asMap());
                lines.add(line);
            }
            if (!play.toStandardOutput()) {
                account.lines(every, s.sidecar().rules().overloadMultiple()).forEach(System.out::println);
                System.out.println(day.line());
            }
            return day.holds() ? 0 : 1;
        }
    }

    @Command(
            name = "sweep",
            description =
                    "Plays a scenario over values of one or two keys and over seeds, or two ways on the same seeds.",
            mixinStandardHelpOptions = true)
    static final class Sweeps implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "SCENARIO")
        private String name;

        @Parameters(
                index = "1..2",
                arity = "1..2",
                paramLabel = "KEY=VALUES",
                description = "such as nodes.cold_share=0.13..0.5:6 or fleet.sidecars=4,8,16")
        private List<String> axes;

        @Mixin
        private Play play;

        @Option(
                names = "--seeds",
                paramLabel = "N",
                defaultValue = "8",
                description = "days at each point (default: ${DEFAULT-VALUE})")
        private int seeds;

        @Option(names = "--vs", paramLabel = "FILE", description = "another operator's file, on the same seeds")
        private String versus;

        @Option(names = "--report", paramLabel = "FILE", description = "a page of HTML with plots over the first key")
        private String report;

        @Override
        public Integer call() throws Exception {
            if (seeds < 1 || seeds > 10_000) {
                throw play.wrong("--seeds: expected 1 to 10000, found " + seeds);
            }
            List<ParameterSweep.Axis> keys = new ArrayList<>();
            int count = seeds * (versus == null ? 1 : 2);
            for (String a : axes) {
                ParameterSweep.Axis axis = ParameterSweep.Axis.parse(a);
                if (axis == null) {
                    throw play.wrong("expected KEY=FROM..TO:STEPS or KEY=VALUE,VALUE, found " + a);
                }
                keys.add(axis);
                count *= axis.values().size();
            }
            Map<String, OperatorConfiguration> ways = new LinkedHashMap<>();
            ways.put(play.operator == null ? "scenario" : play.operator, play.operator());
            if (versus != null) {
                ways.put(versus, OperatorFile.read(versus));
            }
            List<ParameterSweep.Point> points;
            long seed = ScenarioFile.read(name, play.instead()).seed();
            try (Runner runner = new Runner(play.jobs());
                    Watch watch = new Watch(runner, count);
                    JsonLines lines = play.lines()) {
                points = ParameterSweep.play(name, play.instead(), keys, ways, seed, seeds, runner, d -> {
                    watch.one();
                    lines.add(d);
                });
                if (!play.toStandardOutput()) {
                    points.forEach(p -> print(p, ways));
                }
            }
            if (report != null) {
                page(report, html(points, keys, ways));
            }
            return points.stream().allMatch(p -> p.days().values().stream()
                            .allMatch(d -> d.stream().allMatch(SimulationRun::sound)))
                    ? 0
                    : 1;
        }

        private static void print(ParameterSweep.Point p, Map<String, OperatorConfiguration> ways) {
            System.out.println(p.values());
            for (String figure : ParameterSweep.FIGURES.keySet()) {
                StringBuilder t = new StringBuilder(String.format(Locale.ROOT, "    %-22s", figure));
                for (String way : ways.keySet()) {
                    t.append("  ").append(text(p.of(way, figure)));
                }
                if (ways.size() == 2) {
                    t.append("  difference ").append(text(p.paired(figure)));
                }
                System.out.println(t);
            }
        }

        private static String text(BootstrapInterval b) {
            return String.format(Locale.ROOT, "%.4f [%.4f, %.4f]", b.mean(), b.low(), b.high());
        }

        private static String html(
                List<ParameterSweep.Point> points,
                List<ParameterSweep.Axis> keys,
                Map<String, OperatorConfiguration> ways) {
            Map<String, Map<String, List<HtmlReport.Mark>>> figures = new LinkedHashMap<>();
            for (String figure : ParameterSweep.FIGURES.keySet()) {
                Map<String, List<HtmlReport.Mark>> lines = new LinkedHashMap<>();
                for (int i = 0; i < points.size(); i++) {
                    ParameterSweep.Point p = points.get(i);
                    Object x = p.values().get(keys.get(0).key());
                    String second = keys.size() < 2
                            ? ""
                            : ", " + keys.get(1).key() + "="
                                    + p.values().get(keys.get(1).key());
                    for (String way : ways.keySet()) {
                        BootstrapInterval b = p.of(way, figure);
                        lines.computeIfAbsent(way + second, k -> new ArrayList<>())
                                .add(new HtmlReport.Mark(
                                        x instanceof Number n ? n.doubleValue() : i, b.mean(), b.low(), b.high()));
                    }
                }
                figures.put(figure, lines);
            }
            return HtmlReport.sweep(
                    "Sweep over "
                            + String.join(
                                    " and ",
                                    keys.stream().map(ParameterSweep.Axis::key).toList()),
                    keys.get(0).key(),
                    figures);
        }
    }

    @Command(
            name = "search",
            description = "Draws timelines of events, plays them, and shortens those on which a rule breaks.",
            mixinStandardHelpOptions = true)
    static final class Find implements Callable<Integer> {
        @Parameters(
                paramLabel = "SCENARIO",
                defaultValue = "storm-of-faults",
                description = "what it begins with (default: ${DEFAULT-VALUE})")
        private String name;

        @Mixin
        private Play play;

        @Option(
                names = "--runs",
                paramLabel = "N",
                defaultValue = "100",
                description = "days to draw, 1 to 1000000 (default: ${DEFAULT-VALUE})")
        private int runs;

        @Option(
                names = "--seed",
                paramLabel = "N",
                defaultValue = "1",
                description = "of all that is drawn (default: ${DEFAULT-VALUE})")
        private long seed;

        @Option(
                names = "--out",
                paramLabel = "FOLDER",
                defaultValue = "found",
                description = "where finds go, as scenario files (default: ${DEFAULT-VALUE})")
        private String out;

        @Option(
                names = "--finds",
                paramLabel = "N",
                defaultValue = "3",
                description = "so many are made short (default: ${DEFAULT-VALUE})")
        private int most;

        @Override
        public Integer call() throws Exception {
            if (runs < 1 || runs > 1_000_000) {
                throw play.wrong("--runs: expected 1 to 1000000, found " + runs);
            }
            FaultSearch search = new FaultSearch(name, play.instead(), FaultSearch::sound);
            List<SimulationRun> days;
            long begun = System.nanoTime();
            try (Runner runner = new Runner(play.jobs());
                    Watch watch = new Watch(runner, runs);
                    JsonLines lines = play.lines()) {
                days = search.play(seed, 0, runs, runner, d -> {
                    watch.one();
                    lines.add(d);
                });
            }
            double seconds = (System.nanoTime() - begun) / 1e9;
            int found = 0;
            for (int i = 0; i < days.size(); i++) {
                String rule = FaultSearch.broken(days.get(i));
                if (rule.isEmpty()) {
                    continue;
                }
                found++;
                System.out.println("run " + i + ": " + rule + ": "
                        + (days.get(i).fouls().isEmpty()
                                ? days.get(i).troubles().get(0)
                                : days.get(i).fouls().get(0)));
                if (found <= most) {
                    FaultSearch.Find f = search.shrink(i, days.get(i));
                    Path file = Path.of(out, name.replaceAll(".*/|\\.toml$", "") + "-" + seed + "-" + i + ".toml");
                    Files.createDirectories(file.getParent());
                    Files.writeString(file, f.toml());
                    System.out.println("    " + days.get(i).scenario().faults().size() + " events made "
                            + f.shrunk().scenario().faults().size() + " in " + f.attempts() + " days: " + file);
                }
            }
            System.out.printf(
                    Locale.ROOT,
                    "%d days of %d events on the average in %.1f s, %d broke a rule%n",
                    days.size(),
                    Math.round(days.stream()
                            .mapToInt(d -> d.scenario().faults().size())
                            .average()
                            .orElse(0)),
                    seconds,
                    found);
            return found == 0 && days.size() == runs ? 0 : 1;
        }
    }

    @Command(
            name = "fuzz",
            description = "Tries all that reads what others wrote with texts that are nearly right.",
            mixinStandardHelpOptions = true)
    static final class Fuzzing implements Callable<Integer> {
        @Parameters(paramLabel = "TARGET", arity = "0..*", description = "default: all of them")
        private List<String> targets = new ArrayList<>();

        @Option(
                names = "--runs",
                paramLabel = "N",
                defaultValue = "20000",
                description = "texts for each, 1 to 100000000 (default: ${DEFAULT-VALUE})")
        private long runs;

        @Option(
                names = "--seed",
                paramLabel = "N",
                defaultValue = "1",
                description = "of all that is drawn (default: ${DEFAULT-VALUE})")
        private long seed;

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() {
            if (runs < 1 || runs > 100_000_000 || !ParserFuzzer.targets().containsAll(targets)) {
                throw new ParameterException(
                        spec.commandLine(),
                        "expected 1 to 100000000 runs of " + String.join(", ", ParserFuzzer.targets()));
            }
            int found = 0;
            for (String t : targets.isEmpty() ? ParserFuzzer.targets() : targets) {
                long begun = System.nanoTime();
                List<ParserFuzzer.Find> finds = ParserFuzzer.play(t, seed, runs);
                System.out.printf(
                        Locale.ROOT,
                        "%-16s %d texts in %.1f s, %d broke it%n",
                        t,
                        runs,
                        (System.nanoTime() - begun) / 1e9,
                        finds.size());
                finds.forEach(f -> System.out.println("    run " + f.run() + ": " + f.what() + ": " + f.base64()));
                found += finds.size();
            }
            return found == 0 ? 0 : 1;
        }
    }

    @Command(name = "list", description = "The scenarios that come with the program.", mixinStandardHelpOptions = true)
    static final class Shipped implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            for (String name : ScenarioFile.SHIPPED) {
                System.out.printf(
                        "%-18s %s%n", name, ScenarioFile.read(name, Map.of()).about());
            }
            return 0;
        }
    }

    @Command(
            name = "report",
            description =
                    "A page of HTML of days that were kept with --json; of two files also what differs, day by day.",
            mixinStandardHelpOptions = true)
    static final class Pages implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", arity = "1..2")
        private List<String> files;

        @Option(
                names = {"-o", "--out"},
                paramLabel = "FILE",
                defaultValue = "report.html",
                description = "(default: ${DEFAULT-VALUE})")
        private String out;

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        private List<JsonObject> read(String file) {
            List<JsonObject> days = new ArrayList<>();
            int line = 0;
            try {
                for (String text : Files.readAllLines(Path.of(file))) {
                    line++;
                    days.add(JsonObject.parse(text.getBytes(StandardCharsets.UTF_8)));
                }
            } catch (IOException exception) {
                throw new ParameterException(spec.commandLine(), file + ": can't be read: " + exception);
            } catch (IllegalArgumentException | UncheckedIOException exception) {
                throw new ParameterException(spec.commandLine(), file + ":" + line + ": " + exception.getMessage());
            }
            return days;
        }

        @Override
        public Integer call() throws Exception {
            List<JsonObject> first = read(files.get(0));
            String html;
            try {
                html = HtmlReport.days(files.size() == 1 ? first : both(first, read(files.get(1))));
            } catch (IllegalArgumentException exception) {
                throw new ParameterException(
                        spec.commandLine(), files.get(0) + ": is no file of days: " + exception.getMessage());
            }
            page(out, html);
            return 0;
        }

        /** Two builds on the same seeds: the figures of the second less those of the first. */
        private static List<JsonObject> both(List<JsonObject> a, List<JsonObject> b) {
            Map<String, JsonObject> others = new LinkedHashMap<>();
            b.forEach(d -> others.put(d.string("scenario") + " " + d.integer("seed"), d));
            for (String figure : List.of("served", "worst", "refused", "failed", "coldMost", "ownLoad")) {
                double[] differences = a.stream()
                        .filter(d -> others.containsKey(d.string("scenario") + " " + d.integer("seed")))
                        .mapToDouble(d -> others.get(d.string("scenario") + " " + d.integer("seed"))
                                        .object("figures")
                                        .decimalOr(figure, 0)
                                - d.object("figures").decimalOr(figure, 0))
                        .toArray();
                if (differences.length > 0) {
                    BootstrapInterval i = BootstrapInterval.of(differences);
                    System.out.printf(
                            Locale.ROOT,
                            "%-10s second less first, %d days: %+.4f [%+.4f, %+.4f]%n",
                            figure,
                            differences.length,
                            i.mean(),
                            i.low(),
                            i.high());
                }
            }
            List<JsonObject> all = new ArrayList<>(a);
            all.addAll(b);
            return all;
        }
    }
}
