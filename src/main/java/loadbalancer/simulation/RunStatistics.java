package loadbalancer.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** What a day came to, second by second and in all. */
public final class RunStatistics {
    /** How requests of one class, first asked for in one second, ended. */
    public static final class Cell {
        public int asked;
        public int served;
        public int late;
        public int refused;
        public int failed;
    }

    private final List<String> classes;
    private final double[] worth;
    private final Cell[][] cells;
    private final Histogram[] latency;
    /** Connections of all sidecars, by second. */
    final int[] connections;
    /** By second and machine: work of nodes, in core seconds, over what those that are warm could do. */
    final Map<String, double[]> load = new LinkedHashMap<>();

    final Map<String, double[]> sent = new LinkedHashMap<>();
    long tries;
    long refusedTries;
    long failedTries;
    long attempts;
    long probes;
    long words;
    long dials;
    long calls;
    long callBytes;
    double coldMost;
    double coldMean99;
    int nodeConnections;
    int sidecarConnections;
    /** Most over least of the sidecars that know a node; 1 where all know all. */
    double evenness = 1;
    /** Seconds in which nodes had enough to do to be compared: the busiest one's time at work over the mean one's, in each. */
    private final List<Double> busiest = new ArrayList<>();
    /** Seconds of one usable node in which nothing came to it though an even share would have been {@link #SHARE}. */
    int idleSeconds;
    /** Work of nodes for sidecars' own sake, over what nodes can do in that time. */
    double ownLoad;

    long events;
    long digest;
    double wallS;
    double virtualS;

    private static final double SHARE = 10;
    /** While sidecars and their clients start one after the other there is no even share. */
    private static final int BEGIN_S = 2;

    /** What usable nodes did in one second. */
    void spread(int second, List<SimulatedUpstream.Lately> nodes) {
        if (second < BEGIN_S) {
            return;
        }
        double mean = nodes.stream()
                .mapToLong(SimulatedUpstream.Lately::busyUs)
                .average()
                .orElse(0);
        if (mean > 0) {
            busiest.add(nodes.stream()
                            .mapToLong(SimulatedUpstream.Lately::busyUs)
                            .max()
                            .orElse(0)
                    / mean);
        }
        boolean much = nodes.stream()
                        .mapToLong(SimulatedUpstream.Lately::taken)
                        .average()
                        .orElse(0)
                >= SHARE;
        idleSeconds += much ? (int) nodes.stream().filter(n -> n.taken() == 0).count() : 0;
    }

    /** The busiest node's time at work over the mean one's, in the worst second; 0 where none worked. */
    public double busiest() {
        return busiest.stream().mapToDouble(d -> d).max().orElse(0);
    }

    /** Seconds of usable nodes without a request, where an even share would have been ten. */
    public int idleSeconds() {
        return idleSeconds;
    }

    RunStatistics(List<String> classes, double[] worth, int seconds) {
        this.classes = classes;
        this.worth = worth;
        cells = new Cell[seconds + 1][classes.size()];
        connections = new int[seconds + 1];
        latency = new Histogram[classes.size()];
        for (int c = 0; c < classes.size(); c++) {
            latency[c] = new Histogram(1, 60_000_000L, 3);
        }
        for (Cell[] row : cells) {
            for (int c = 0; c < row.length; c++) {
                row[c] = new Cell();
            }
        }
    }

    Cell cell(int second, int c) {
        return cells[Math.min(cells.length - 1, Math.max(0, second))][c];
    }

    void latency(int c, long us) {
        latency[c].recordValue(Math.min(60_000_000L, Math.max(1, us)));
    }

    public List<String> classes() {
        return classes;
    }

    public int seconds() {
        return cells.length - 1;
    }

    /** Of requests of the class, in microseconds; of those served alone. */
    public Histogram latency(String c) {
        return latency[classes.indexOf(c)];
    }

    /** Worth served in time over worth asked for, of what was first asked for in [from, to) seconds; 1 where nothing was. */
    public double served(int from, int to) {
        double asked = 0;
        double served = 0;
        for (int s = Math.max(0, from); s < Math.min(to, cells.length); s++) {
            for (int c = 0; c < worth.length; c++) {
                asked += worth[c] * cells[s][c].asked;
                served += worth[c] * cells[s][c].served;
            }
        }
        return asked == 0 ? 1 : served / asked;
    }

    public double served() {
        return served(0, cells.length);
    }

    /** The same of one class, counted. */
    public double served(String name) {
        int c = classes.indexOf(name);
        long asked = 0;
        long served = 0;
        for (Cell[] row : cells) {
            asked += row[c].asked;
            served += row[c].served;
        }
        return asked == 0 ? 1 : (double) served / asked;
    }

    /** Requests of the class that ended so: asked, served (in time), late, refused, failed. */
    public long count(String name, String how) {
        int c = classes.indexOf(name);
        long count = 0;
        for (Cell[] row : cells) {
            count += of(row[c], how);
        }
        return count;
    }

    private static int of(Cell c, String how) {
        return switch (how) {
            case "asked" -> c.asked;
            case "served" -> c.served;
            case "late" -> c.late;
            case "refused" -> c.refused;
            case "failed" -> c.failed;
            default -> throw new IllegalArgumentException(how);
        };
    }

    /** The class of most worth. */
    public String dearest() {
        int best = 0;
        for (int c = 1; c < worth.length; c++) {
            best = worth[c] > worth[best] ? c : best;
        }
        return classes.get(best);
    }

    /** The least of the means over five seconds, of those in which at least ten requests were asked for. */
    public double worst() {
        double worst = 1;
        for (int s = 0; s + 5 < cells.length; s++) {
            int asked = 0;
            for (int t = s; t < s + 5; t++) {
                for (Cell c : cells[t]) {
                    asked += c.asked;
                }
            }
            worst = asked < 10 ? worst : Math.min(worst, served(s, s + 5));
        }
        return worst;
    }

    /** Seconds from then on until nine tenths are served three seconds in a row; -1 for never. */
    public int recovery(int from) {
        for (int s = from; s + 3 < cells.length; s++) {
            if (served(s, s + 1) >= 0.9 && served(s + 1, s + 2) >= 0.9 && served(s + 2, s + 3) >= 0.9) {
                return s - from;
            }
        }
        return -1;
    }

    public double refusedShare() {
        return tries == 0 ? 0 : (double) refusedTries / tries;
    }

    public double failedShare() {
        return tries == 0 ? 0 : (double) failedTries / tries;
    }

    public double callsPerMinute(int sidecars) {
        return calls / (double) sidecars / (virtualS / 60);
    }

    public long asked() {
        long asked = 0;
        for (Cell[] row : cells) {
            for (Cell c : row) {
                asked += c.asked;
            }
        }
        return asked;
    }

    public long tries() {
        return tries;
    }

    public double coldMost() {
        return coldMost;
    }

    public double ownLoad() {
        return ownLoad;
    }

    public int nodeConnections() {
        return nodeConnections;
    }

    public int sidecarConnections() {
        return sidecarConnections;
    }

    public double evenness() {
        return evenness;
    }

    public long events() {
        return events;
    }

    public long digest() {
        return digest;
    }

    public double wallS() {
        return wallS;
    }

    /** Parts of the attempts that went to each kind of machine, from one second on. */
    public Map<String, Double> split(int from) {
        Map<String, Double> parts = new LinkedHashMap<>();
        double all = 0;
        for (Map.Entry<String, double[]> e : sent.entrySet()) {
            double own = 0;
            for (int s = from; s < e.getValue().length; s++) {
                own += e.getValue()[s];
            }
            parts.put(e.getKey(), own);
            all += own;
        }
        double sum = all;
        parts.replaceAll((k, v) -> sum == 0 ? 0 : v / sum);
        return parts;
    }

    /** All of it as plain values, for JSON lines and reports. */
    public Map<String, Object> asMap() {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("asked", asked());
        m.put("tries", tries);
        m.put("served", served());
        m.put("worst", worst());
        m.put("refused", refusedShare());
        m.put("failed", failedShare());
        m.put("attempts", attempts);
        m.put("probes", probes);
        m.put("words", words);
        m.put("dials", dials);
        m.put("calls", calls);
        m.put("callBytes", callBytes);
        m.put("coldMost", coldMost);
        m.put("coldMean99", coldMean99);
        m.put("ownLoad", ownLoad);
        m.put("nodeConnections", nodeConnections);
        m.put("sidecarConnections", sidecarConnections);
        m.put("evenness", evenness);
        m.put("busiest", busiest());
        m.put("idleSeconds", idleSeconds);
        m.put("events", events);
        m.put("digest", Long.toHexString(digest));
        Map<String, Object> byClass = new LinkedHashMap<>();
        for (int c = 0; c < classes.size(); c++) {
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("served", served(classes.get(c)));
            for (double p : new double[] {50, 90, 99, 99.9}) {
                one.put(
                        "p" + (p == 99.9 ? "999" : String.valueOf((int) p)) + "Ms",
                        latency[c].getValueAtPercentile(p) / 1000.0);
            }
            for (String what : List.of("asked", "served", "late", "refused", "failed")) {
                List<Object> series = new ArrayList<>();
                for (Cell[] row : java.util.Arrays.copyOf(cells, Math.max(1, seconds()))) {
                    series.add((long) of(row[c], what));
                }
                one.put(what + "BySecond", series);
            }
            List<Object> percentiles = new ArrayList<>();
            latency[c].percentiles(5).forEach(v -> {
                Map<String, Object> point = new LinkedHashMap<>();
                point.put("p", v.getPercentileLevelIteratedTo());
                point.put("ms", v.getValueIteratedTo() / 1000.0);
                percentiles.add(point);
            });
            one.put("percentiles", percentiles);
            byClass.put(classes.get(c), one);
        }
        m.put("classes", byClass);
        m.put("loadBySecond", series(load));
        m.put("sentBySecond", series(sent));
        m.put(
                "connectionsBySecond",
                java.util.Arrays.stream(connections)
                        .boxed()
                        .map(i -> (Object) (long) i)
                        .toList());
        return m;
    }

    private static Map<String, Object> series(Map<String, double[]> of) {
        Map<String, Object> m = new LinkedHashMap<>();
        of.forEach((k, v) -> m.put(
                k,
                java.util.Arrays.stream(v)
                        .mapToObj(d -> (Object) (Math.round(d * 1e4) / 1e4))
                        .toList()));
        return m;
    }
}
