package loadbalancer.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.Predicate;
import loadbalancer.trace.SpanAttributes;
import loadbalancer.trace.read.AssembledTrace;
import loadbalancer.trace.read.DelayCauses;
import loadbalancer.trace.read.SpanFiles;
import loadbalancer.trace.read.TraceAssembler;
import loadbalancer.trace.read.Waterfall;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Reads the traces that sidecars, and nodes, have written to files. */
@Command(
        name = "traces",
        description = "Reads files of traces (lines of OTLP in JSON) of sidecars and nodes.",
        subcommands = {TraceCommands.ListOf.class, TraceCommands.Show.class, TraceCommands.CausesOf.class})
final class TraceCommands {
    private TraceCommands() {}

    /** Which requests are meant. */
    static final class Filter {
        @Option(
                names = {"-r", "--reason"},
                paramLabel = "REASON",
                description =
                        "only those kept for it: failed, left, refused, retried, resent, slow, hedged, asked, ordinary")
        private String reason;

        @Option(
                names = {"-c", "--class"},
                paramLabel = "CLASS",
                description = "only those of this class")
        private String requestClass;

        @Option(
                names = {"-t", "--tenant"},
                paramLabel = "TENANT",
                description = "only those of this tenant")
        private String tenant;

        @Option(
                names = {"-u", "--upstream"},
                paramLabel = "UPSTREAM",
                description = "only those with an attempt there")
        private String upstream;

        @Option(names = "--slower", paramLabel = "MS", description = "only those that took longer")
        private double slowerMs = -1;

        Predicate<AssembledTrace> asPredicate() {
            return s -> (reason == null
                            || List.of(s.request()
                                            .attribute(SpanAttributes.REASONS)
                                            .split(","))
                                    .contains(reason))
                    && (requestClass == null
                            || s.request()
                                    .attribute(SpanAttributes.REQUEST_CLASS)
                                    .equals(requestClass))
                    && (tenant == null
                            || s.request().attribute(SpanAttributes.TENANT).equals(tenant))
                    && (upstream == null
                            || s.attempts().stream().anyMatch(a -> a.attribute(SpanAttributes.UPSTREAM)
                                    .equals(upstream)))
                    && (s.request().endNanos() - s.request().startNanos()) / 1e6 > slowerMs;
        }
    }

    private static TraceAssembler read(List<Path> files) throws SpanFiles.SpanFileException {
        TraceAssembler all = new TraceAssembler();
        for (Path f : files) {
            SpanFiles.read(f, all::add);
        }
        return all;
    }

    private static int print(List<?> lines) {
        lines.forEach(System.out::println);
        if (lines.isEmpty()) {
            System.err.println("no such request in these files");
        }
        return lines.isEmpty() ? 1 : 0;
    }

    @Command(name = "list", description = "Lists requests, a line each.")
    static final class ListOf implements Callable<Integer> {
        @Mixin
        private Filter filter;

        @Option(
                names = {"-n", "--last"},
                paramLabel = "N",
                description = "only the last N (default: ${DEFAULT-VALUE})",
                defaultValue = "50")
        private int last;

        @Parameters(arity = "1..*", paramLabel = "FILE")
        private List<Path> files;

        @Override
        public Integer call() throws SpanFiles.SpanFileException {
            List<AssembledTrace> all =
                    read(files).all().stream().filter(filter.asPredicate()).toList();
            return print(all.subList(Math.max(0, all.size() - Math.max(0, last)), all.size()).stream()
                    .map(ListOf::line)
                    .toList());
        }

        private static String line(AssembledTrace s) {
            return String.format(
                    Locale.ROOT,
                    "%s  %-24s %-16s %-8s %7.1f ms  %s attempts  %s",
                    s.request().traceId(),
                    s.request().attribute(SpanAttributes.REQUEST_ID),
                    s.request().attribute(SpanAttributes.REQUEST_CLASS),
                    s.request().attribute(SpanAttributes.RESULT),
                    (s.request().endNanos() - s.request().startNanos()) / 1e6,
                    s.request().attribute(SpanAttributes.ATTEMPTS),
                    s.request().attribute(SpanAttributes.REASONS));
        }
    }

    @Command(name = "show", description = "Shows each step of a trace, from the sidecar to the nodes.")
    static final class Show implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "ID", description = "a trace's id or its start, or a request's id")
        private String id;

        @Parameters(index = "1..*", arity = "1..*", paramLabel = "FILE")
        private List<Path> files;

        @Override
        public Integer call() throws SpanFiles.SpanFileException {
            return print(Waterfall.of(read(files).named(id)));
        }
    }

    @Command(name = "causes", description = "Groups requests in trouble by where their time went and whom to ask.")
    static final class CausesOf implements Callable<Integer> {
        @Mixin
        private Filter filter;

        @Option(
                names = {"-n", "--most"},
                paramLabel = "N",
                description = "only the N largest groups (default: ${DEFAULT-VALUE})",
                defaultValue = "20")
        private int most;

        @Parameters(arity = "1..*", paramLabel = "FILE")
        private List<Path> files;

        @Override
        public Integer call() throws SpanFiles.SpanFileException {
            Predicate<AssembledTrace> which = filter.asPredicate();
            // What is usual counts whatever is asked for.
            List<AssembledTrace> all = read(files).all().stream()
                    .filter(s -> which.test(s)
                            || s.request().attribute(SpanAttributes.REASONS).equals("ordinary"))
                    .toList();
            return print(DelayCauses.of(all).stream().limit(Math.max(1, most)).toList());
        }
    }
}
