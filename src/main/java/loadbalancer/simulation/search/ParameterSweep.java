package loadbalancer.simulation.search;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import loadbalancer.operator.OperatorConfiguration;
import loadbalancer.sidecar.Engine;
import loadbalancer.simulation.Runner;
import loadbalancer.simulation.SimulatedFleet;
import loadbalancer.simulation.SimulationRun;
import loadbalancer.simulation.scenario.Scenario;
import loadbalancer.simulation.scenario.ScenarioFile;
import loadbalancer.toml.ConfigurationException;

/** One scenario over values of one or two keys and over seeds; two ways to run sidecars meet the same seeds. */
public final class ParameterSweep {
    /** A key's values, as they stand in a file: {@code nodes.cold_share=0.13..0.5:6} or {@code fleet.sidecars=4,8,16}. */
    public record Axis(String key, List<Object> values) {
        /** Null where the text is none. */
        public static Axis parse(String text) {
            int equals = text.indexOf('=');
            if (equals <= 0) {
                return null;
            }
            String key = text.substring(0, equals);
            String values = text.substring(equals + 1);
            java.util.regex.Matcher range = java.util.regex.Pattern.compile("(-?[0-9.]+)\\.\\.(-?[0-9.]+):([0-9]{1,3})")
                    .matcher(values);
            try {
                List<Object> all = new ArrayList<>();
                if (range.matches()) {
                    double from = Double.parseDouble(range.group(1));
                    double to = Double.parseDouble(range.group(2));
                    int steps = Integer.parseInt(range.group(3));
                    for (int i = 0; i < steps; i++) {
                        double v = steps == 1 ? from : Math.round((from + (to - from) * i / (steps - 1)) * 1e6) / 1e6;
                        all.add(plain(String.valueOf(v)));
                    }
                } else {
                    for (String v : values.split(",")) {
                        all.add(plain(v));
                    }
                }
                return all.isEmpty() ? null : new Axis(key, all);
            } catch (NumberFormatException exception) {
                return null;
            }
        }

        /** As TOML would have it: whole numbers, others, true and false, texts. */
        public static Object plain(String v) {
            if (v.matches("-?[0-9]{1,15}(\\.0)?")) {
                return Long.parseLong(v.replace(".0", ""));
            }
            if (v.matches("-?[0-9]*\\.[0-9]+(E-?[0-9]+)?")) {
                return Double.parseDouble(v);
            }
            return v.equals("true") || v.equals("false") ? Boolean.valueOf(v) : v;
        }
    }

    /** What is measured of a day. */
    public static final Map<String, ToDoubleFunction<SimulationRun>> FIGURES = figures();

    private static Map<String, ToDoubleFunction<SimulationRun>> figures() {
        Map<String, ToDoubleFunction<SimulationRun>> f = new LinkedHashMap<>();
        f.put("served", d -> d.figures().served());
        f.put("worst five seconds", d -> d.figures().worst());
        f.put("dearest class served", d -> d.figures().served(d.figures().dearest()));
        f.put("refused", d -> d.figures().refusedShare());
        f.put("failed", d -> d.figures().failedShare());
        f.put("sent to a cold node", d -> d.figures().coldMost());
        f.put("own load", d -> d.figures().ownLoad());
        f.put("rules broken", d -> d.broken());
        return f;
    }

    /** One point: the values of the keys, and the days of each way in the order of their seeds. */
    public record Point(Map<String, Object> values, Map<String, List<SimulationRun>> days) {
        public BootstrapInterval of(String way, String figure) {
            return BootstrapInterval.of(
                    days.get(way).stream().mapToDouble(FIGURES.get(figure)).toArray());
        }

        /** The difference of the second way to the first, seed by seed. */
        public BootstrapInterval paired(String figure) {
            List<List<SimulationRun>> both = new ArrayList<>(days.values());
            double[] d = new double[Math.min(both.get(0).size(), both.get(1).size())];
            for (int i = 0; i < d.length; i++) {
                d[i] = FIGURES.get(figure).applyAsDouble(both.get(1).get(i))
                        - FIGURES.get(figure).applyAsDouble(both.get(0).get(i));
            }
            return BootstrapInterval.of(d);
        }
    }

    private ParameterSweep() {}

    /**
     * @param axes at least one
     * @param ways by name, the operator's settings; null for those of the scenario
     */
    public static List<Point> play(
            String name,
            Map<String, Object> instead,
            List<Axis> axes,
            Map<String, OperatorConfiguration> ways,
            long seed,
            int seeds,
            Runner runner,
            Consumer<SimulationRun> progress)
            throws ConfigurationException, InterruptedException {
        List<Map<String, Object>> points = new ArrayList<>(List.of(new LinkedHashMap<>()));
        for (Axis a : axes) {
            List<Map<String, Object>> more = new ArrayList<>();
            for (Map<String, Object> p : points) {
                for (Object v : a.values()) {
                    Map<String, Object> one = new LinkedHashMap<>(p);
                    one.put(a.key(), v);
                    more.add(one);
                }
            }
            points = more;
        }
        List<Callable<SimulationRun>> days = new ArrayList<>();
        for (Map<String, Object> p : points) {
            Map<String, Object> all = new LinkedHashMap<>(instead);
            all.putAll(p);
            Scenario s = ScenarioFile.read(name, all);
            for (OperatorConfiguration way : ways.values()) {
                Scenario mine = way == null ? s : s.with(way);
                for (int k = 0; k < seeds; k++) {
                    Scenario day = mine.with(mine.faults(), seed + k);
                    days.add(() -> new SimulatedFleet(day, Engine.balancer(day.operator()), null).play());
                }
            }
        }
        List<SimulationRun> played = runner.play(days, progress);
        List<Point> out = new ArrayList<>();
        int at = 0;
        for (Map<String, Object> p : points) {
            Map<String, List<SimulationRun>> byWay = new LinkedHashMap<>();
            for (String way : ways.keySet()) {
                if (at + seeds <= played.size()) {
                    byWay.put(way, played.subList(at, at + seeds));
                }
                at += seeds;
            }
            // What was broken off is not told by halves.
            if (byWay.size() == ways.size()) {
                out.add(new Point(p, byWay));
            }
        }
        return out;
    }
}
