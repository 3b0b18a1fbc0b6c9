package loadbalancer.operator;

import java.nio.file.Path;
import java.util.Set;
import loadbalancer.operator.OperatorConfiguration.CollectorOptions;
import loadbalancer.operator.OperatorConfiguration.TraceFileOptions;
import loadbalancer.operator.OperatorConfiguration.TraceOptions;
import loadbalancer.toml.ConfigurationException;
import loadbalancer.toml.ConfigurationTable;
import loadbalancer.trace.SamplingOptions;

/** Reads the table {@code [traces]} of the operator's file. */
final class TraceOptionsReader {
    /** Visible ASCII without spaces, so that the path can stand in a request line. */
    private static final String PATH_PATTERN = "/[!-~]{0,200}";

    private TraceOptionsReader() {}

    static TraceOptions read(ConfigurationTable table) throws ConfigurationException {
        SamplingOptions sampling = sampling(table);
        String service = table.string("service", "bridgecleat");
        int maxPendingTraces = table.integer("waiting", 1_000, 10, 100_000);
        long deliveryTimeoutMicros = table.durationMicros("give_up", "30s", "1s", "10min");
        TraceFileOptions file = OperatorFile.readTable(table, "file", TraceOptionsReader::file);
        CollectorOptions collector = OperatorFile.readTable(table, "collector", TraceOptionsReader::collector);
        if (file == null && collector == null) {
            throw table.invalid("file", "a table, [traces.file] or [traces.collector], that says where traces go");
        }
        return new TraceOptions(sampling, service, maxPendingTraces, deliveryTimeoutMicros, file, collector);
    }

    private static SamplingOptions sampling(ConfigurationTable table) throws ConfigurationException {
        return new SamplingOptions(
                table.integer("trouble_per_second", 50, 1, 1_000),
                table.integer("noted_per_second", 5, 0, 1_000),
                table.integer("ordinary_per_second", 1, 0, 1_000),
                table.integer("slow_percent", 100, 1, 1_000) / 100.0,
                Set.copyOf(table.strings("marked")),
                table.integer("remembered", 2_000, 0, 100_000),
                table.durationMicros("retry_window", "30s", "0s", "10min"));
    }

    private static TraceFileOptions file(ConfigurationTable table) throws ConfigurationException {
        return new TraceFileOptions(
                Path.of(table.string("folder", null)),
                (int) table.sizeBytes("largest", "16MiB", "64KiB", "512MiB"),
                table.integer("files", 4, 1, 100));
    }

    private static CollectorOptions collector(ConfigurationTable table) throws ConfigurationException {
        CollectorOptions collector = new CollectorOptions(
                table.address("address"),
                table.string("path", "/v1/traces"),
                table.durationMicros("timeout", "3s", "10ms", "30s"));
        if (!collector.path().matches(PATH_PATTERN)) {
            throw table.invalid("path", "a path that begins with '/'");
        }
        return collector;
    }
}
