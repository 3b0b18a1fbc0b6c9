package loadbalancer.grpc.mapping;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.util.Base64;
import loadbalancer.balancing.Balancer.LoadReport;
import loadbalancer.settings.LoadReportBuilder;

/**
 * Open Request Cost Aggregation: load reports in trailers, as the published {@code xds.data.orca.v3.OrcaLoadReport} in binary
 * or as text. Of its fields the module knows utilisation, and as named metrics what the platform calls {@code inflight} and
 * {@code queue}. An implausible value makes the whole report none.
 */
public final class OrcaLoadReport {
    /** No upstream holds more: the bound of the other protocol's reports. */
    private static final double MOST = 10_000;

    private static final int MOST_TEXT = 4096;
    private static final int CPU = 1, NAMED_METRICS = 8, APPLICATION = 9;

    private OrcaLoadReport() {}

    /** From {@code endpoint-load-metrics-bin}, base64 with or without padding; null where it is no report. */
    public static LoadReport binary(CharSequence base64) {
        if (base64 == null || base64.length() > MOST_TEXT) {
            return null;
        }
        try {
            CodedInputStream in =
                    CodedInputStream.newInstance(Base64.getDecoder().decode(base64.toString()));
            Report report = new Report();
            for (int tag; (tag = in.readTag()) != 0; ) {
                int field = WireFormat.getTagFieldNumber(tag);
                boolean number = WireFormat.getTagWireType(tag) == WireFormat.WIRETYPE_FIXED64;
                if (field == CPU && number) {
                    report.put("cpu_utilization", in.readDouble());
                } else if (field == APPLICATION && number) {
                    report.put("application_utilization", in.readDouble());
                } else if (field == NAMED_METRICS
                        && WireFormat.getTagWireType(tag) == WireFormat.WIRETYPE_LENGTH_DELIMITED) {
                    if (!metric(in, report)) {
                        return null;
                    }
                } else if (!in.skipField(tag)) {
                    return null;
                }
            }
            return report.read();
        } catch (IOException | IllegalArgumentException exception) {
            return null;
        }
    }

    /** One entry of the map: key and value are fields 1 and 2. False where it is none. */
    private static boolean metric(CodedInputStream in, Report report) {
        try {
            int limit = in.pushLimit(in.readRawVarint32());
            String name = "";
            double value = 0;
            for (int tag; (tag = in.readTag()) != 0; ) {
                if (tag == (1 << 3 | WireFormat.WIRETYPE_LENGTH_DELIMITED)) {
                    name = in.readString();
                } else if (tag == (2 << 3 | WireFormat.WIRETYPE_FIXED64)) {
                    value = in.readDouble();
                } else if (!in.skipField(tag)) {
                    return false;
                }
            }
            in.popLimit(limit);
            report.put(name, value);
            return true;
        } catch (IOException exception) {
            return false;
        }
    }

    /** From {@code endpoint-load-metrics}: {@code TEXT name=value, ...}; null where it is no report. */
    public static LoadReport text(CharSequence header) {
        if (header == null || header.length() > MOST_TEXT || !header.toString().startsWith("TEXT ")) {
            return null;
        }
        Report report = new Report();
        for (String pair : header.toString().substring(5).split(",")) {
            int equals = pair.indexOf('=');
            if (equals < 0) {
                return null;
            }
            String name = pair.substring(0, equals).trim();
            try {
                report.put(
                        name.startsWith("named_metrics.") ? name.substring(14) : name,
                        Double.parseDouble(pair.substring(equals + 1).trim()));
            } catch (NumberFormatException exception) {
                return null;
            }
        }
        return report.read();
    }

    private static final class Report {
        private final LoadReportBuilder values = new LoadReportBuilder();
        private double application = -1;
        private double cpu = -1;
        private boolean odd;

        void put(String name, double value) {
            odd |= !(value >= 0 && value <= MOST);
            switch (name) {
                case "application_utilization" -> application = value;
                case "cpu_utilization", "cpu" -> cpu = value;
                default -> values.put(name, value);
            }
        }

        /** What the service says of itself comes before the machine's. */
        LoadReport read() {
            if (odd) {
                return null;
            }
            double utilisation = application > 0 ? application : cpu;
            if (utilisation >= 0) {
                values.put("util", utilisation);
            }
            return values.build();
        }
    }
}
