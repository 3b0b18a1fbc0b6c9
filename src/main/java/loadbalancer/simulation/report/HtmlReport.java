package loadbalancer.simulation.report;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import loadbalancer.json.JsonObject;
import loadbalancer.simulation.report.Charts.Line;

/** Days, or sweeps over them, as one page of HTML that needs nothing beside it. */
public final class HtmlReport {
    private static final int SMOOTH = 5;

    private HtmlReport() {}

    /** A mark of a sweep: at {@code x}, a mean and the interval of it. */
    public record Mark(double x, double mean, double low, double high) {}

    /** @param days as {@code SimulationRun.asMap} has them */
    public static String days(List<JsonObject> days) {
        StringBuilder t = new StringBuilder(head("Days in the laboratory"));
        t.append(
                "<table><tr><th>scenario<th>seed<th>holds<th>served<th>worst 5 s<th>refused<th>failed<th>cold x<th>own load"
                        + "<th>connections a node<th>attempts</tr>");
        for (JsonObject d : days) {
            JsonObject f = d.object("figures");
            t.append("<tr><td><a href=\"#")
                    .append(anchor(d))
                    .append("\">")
                    .append(escaped(d.string("scenario")))
                    .append("</a><td>")
                    .append(d.integer("seed"))
                    .append("<td class=")
                    .append(d.flag("holds"))
                    .append('>')
                    .append(d.flag("holds") ? "yes" : "no");
            for (String name : List.of("served", "worst", "refused", "failed", "coldMost", "ownLoad")) {
                t.append("<td>").append(String.format(Locale.ROOT, "%.3f", f.decimalOr(name, 0)));
            }
            t.append("<td>")
                    .append(f.integer("nodeConnections"))
                    .append("<td>")
                    .append(f.integer("attempts"))
                    .append("</tr>");
        }
        t.append("</table>");
        days.forEach(d -> day(t, d));
        return t.append("</body></html>\n").toString();
    }

    private static void day(StringBuilder t, JsonObject d) {
        t.append("<h2 id=\"")
                .append(anchor(d))
                .append("\">")
                .append(escaped(d.string("scenario")))
                .append(", seed ")
                .append(d.integer("seed"))
                .append("</h2><p>")
                .append(escaped(d.stringOr("about", "")))
                .append("</p>");
        t.append("<table><tr><th>expected<th>wanted<th>found</tr>");
        for (JsonObject c : d.objects("checks")) {
            t.append("<tr><td>")
                    .append(escaped(c.string("what")))
                    .append("<td>")
                    .append(escaped(c.string("wanted")))
                    .append("<td class=")
                    .append(c.flag("holds"))
                    .append('>')
                    .append(escaped(c.string("found")))
                    .append("</tr>");
        }
        t.append("</table>");
        if (!d.stringsOrEmpty("events").isEmpty()) {
            t.append("<ul>");
            d.stringsOrEmpty("events")
                    .forEach(e -> t.append("<li>").append(escaped(e)).append("</li>"));
            t.append("</ul>");
        }
        JsonObject f = d.object("figures");
        JsonObject classes = f.object("classes");
        Map<String, Line> ends = new LinkedHashMap<>();
        for (String what : List.of("asked", "served", "refused", "failed", "late")) {
            for (String c : classes.fieldNames()) {
                // Who is asked for is the same for all classes but for its height: one line for each of the others.
                if (!what.equals("asked")) {
                    double[] y = classes.object(c).decimals(what + "BySecond");
                    if (java.util.Arrays.stream(y).sum() > 0) {
                        ends.put(c + ", " + what, Line.seconds(smooth(y), !what.equals("served")));
                    }
                }
            }
        }
        t.append(Charts.svg(
                "How requests ended, by the second they were asked for (mean over " + SMOOTH + " s)",
                "second",
                "requests",
                false,
                ends));
        Map<String, Line> load = new LinkedHashMap<>();
        JsonObject bySecond = f.object("loadBySecond");
        bySecond.fieldNames().forEach(k -> load.put(k, Line.seconds(smooth(bySecond.decimals(k)), false)));
        t.append(Charts.svg("Work of nodes over what the living ones can do, by kind", "second", "part", false, load));
        split(t, d, f);
        Map<String, Line> latency = new LinkedHashMap<>();
        for (String c : classes.fieldNames()) {
            // What is rarer than one in all of them nobody has seen.
            double served = java.util.Arrays.stream(classes.object(c).decimals("servedBySecond"))
                    .sum();
            List<double[]> points = points(classes.object(c)).stream()
                    .filter(p -> p[0] < 100 - 100 / (served + 1))
                    .toList();
            latency.put(
                    c,
                    new Line(
                            points.stream()
                                    .mapToDouble(p -> 1 / Math.max(1e-5, 1 - p[0] / 100))
                                    .toArray(),
                            points.stream().mapToDouble(p -> p[1]).toArray(),
                            false));
        }
        t.append(Charts.svg(
                "Time to the answer, of those served: one in so many takes longer", "one in", "ms", true, latency));
        t.append(Charts.svg(
                "Connections of all sidecars",
                "second",
                "connections",
                false,
                Map.of("open", Line.seconds(f.decimals("connectionsBySecond"), false))));
        t.append("<p>Sidecars: ")
                .append(f.integer("attempts"))
                .append(" attempts, ")
                .append(f.integer("probes"))
                .append(" probes, ")
                .append(f.integer("dials"))
                .append(" new connections, ")
                .append(f.integer("words"))
                .append(" words to peers, ")
                .append(f.integer("calls"))
                .append(" calls to discovery of ")
                .append(f.integer("callBytes"))
                .append(" bytes.</p>");
    }

    private static List<double[]> points(JsonObject c) {
        // Pairs of a percentile and its milliseconds, as a list of lists.
        java.util.ArrayList<double[]> points = new java.util.ArrayList<>();
        for (JsonObject p : c.objects("percentiles")) {
            points.add(new double[] {p.decimalOr("p", 0), p.decimalOr("ms", 0)});
        }
        return points;
    }

    private static void split(StringBuilder t, JsonObject d, JsonObject f) {
        JsonObject sent = f.object("sentBySecond");
        if (sent.fieldNames().size() < 2) {
            return;
        }
        Map<String, double[]> smoothed = new LinkedHashMap<>();
        sent.fieldNames().forEach(k -> smoothed.put(k, smooth(sent.decimals(k))));
        Map<String, Line> lines = new LinkedHashMap<>();
        for (String k : sent.fieldNames()) {
            double[] y = smoothed.get(k).clone();
            double[] eq = new double[y.length];
            for (int s = 0; s < y.length; s++) {
                int at = s;
                double sum = smoothed.values().stream().mapToDouble(v -> v[at]).sum();
                y[s] = sum == 0 ? 0 : y[s] / sum;
                eq[s] = d.object("eq4").decimalOr(k, 0);
            }
            lines.put(k, Line.seconds(y, false));
            lines.put(k + ", Eq. (4)", Line.seconds(eq, true));
        }
        t.append(Charts.svg(
                "Attempts by kind of node, beside Eq. (4) for true speeds and the mean rate",
                "second",
                "part",
                false,
                lines));
    }

    /** One line a figure over the values of a key; marks of the same key in their order. */
    public static String sweep(String title, String key, Map<String, Map<String, List<Mark>>> figures) {
        StringBuilder t = new StringBuilder(head(title));
        figures.forEach((figure, ways) -> {
            Map<String, Line> lines = new LinkedHashMap<>();
            ways.forEach((way, marks) -> {
                double[] x = marks.stream().mapToDouble(Mark::x).toArray();
                lines.put(
                        way, new Line(x, marks.stream().mapToDouble(Mark::mean).toArray(), false));
                lines.put(
                        way + ", low",
                        new Line(x, marks.stream().mapToDouble(Mark::low).toArray(), true));
                lines.put(
                        way + ", high",
                        new Line(x, marks.stream().mapToDouble(Mark::high).toArray(), true));
            });
            t.append(Charts.svg(figure, key, figure, false, lines));
        });
        return t.append("</body></html>\n").toString();
    }

    private static double[] smooth(double[] y) {
        double[] out = new double[y.length];
        for (int i = 0; i < y.length; i++) {
            int from = Math.max(0, i - SMOOTH / 2);
            int to = Math.min(y.length, i + SMOOTH / 2 + 1);
            for (int j = from; j < to; j++) {
                out[i] += y[j] / (to - from);
            }
        }
        return out;
    }

    private static String anchor(JsonObject d) {
        return escaped(d.string("scenario")) + "-" + d.integer("seed");
    }

    private static String head(String title) {
        return "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>" + escaped(title)
                + "</title><style>"
                + "body{font:14px sans-serif;max-width:900px;margin:2em auto;color:#222}table{border-collapse:collapse;margin:1em 0}"
                + "td,th{padding:.2em .7em;border-bottom:1px solid #ddd;text-align:left}.true{color:#00664a}.false{color:#b00020;font-weight:bold}"
                + "svg{display:block;margin:1em 0}</style></head><body><h1>" + escaped(title) + "</h1>";
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
