package loadbalancer.wire;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.balancing.Balancer;
import loadbalancer.balancing.Balancer.EndpointListKind;
import loadbalancer.balancing.Balancer.LoadReport;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.balancing.Balancer.Request;
import loadbalancer.balancing.Balancer.Settings;
import loadbalancer.balancing.Balancer.Upstream;
import loadbalancer.balancing.HaloBalancer;
import loadbalancer.balancing.PeerLoad;
import loadbalancer.balancing.RoutingConstraints;
import loadbalancer.settings.SettingsException;
import loadbalancer.settings.SettingsReader;

/**
 * Hosts many isolated balancers behind the simulator's line protocol. It only translates; the balancers make all
 * decisions.
 */
public final class SimulatorHost {
    private static final int BUFFER_BYTES = 1 << 16;

    private final BufferedReader in;
    private final OutputStream out;
    private final PrintStream err;
    private final BatchReply reply = new BatchReply();
    private final EndpointPages pages = new EndpointPages();
    private final Map<String, Instance> instances = new HashMap<>();
    private boolean failed;

    /** A hosted balancer, and the names of its load report values in the order in which they are sent. */
    private record Instance(Balancer balancer, List<String> reportFields) {}

    /** @param err receives a one-line error if the input is invalid */
    public SimulatorHost(InputStream in, OutputStream out, PrintStream err) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), BUFFER_BYTES);
        this.out = out;
        this.err = err;
    }

    /** Processes batches until the input ends, or is invalid; returns the exit code. */
    public int run() throws IOException {
        try {
            String line = in.readLine();
            while (line != null) {
                runBatch(line);
                line = in.readLine();
            }
            return 0;
        } catch (WireException | SettingsException exception) {
            err.println("sidecar: " + exception.getMessage());
            return 1;
        }
    }

    private void runBatch(String firstLine) throws IOException {
        FieldReader header = new FieldReader(firstLine);
        if (!header.text().equals("MARK")) {
            throw new WireException("expected MARK at the start of a batch, found '" + firstLine + "'");
        }
        long nowMicros = header.integer();
        reply.clear();
        String instance = null;
        for (String line = nextLine(); !line.equals("END"); line = nextLine()) {
            FieldReader fields = new FieldReader(line);
            String event = fields.text();
            if (event.equals("INSTANCE")) {
                instance = fields.text();
            } else if (event.equals("PAGE")) {
                pages.read(fields, in);
            } else if (instance == null) {
                throw new WireException("'" + event + "' comes before any INSTANCE");
            } else {
                dispatch(nowMicros, instance, event, fields);
            }
        }
        out.write(reply.finish().getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private String nextLine() throws IOException {
        String line = in.readLine();
        if (line == null) {
            throw new WireException("the input ended within a batch");
        }
        return line;
    }

    private void dispatch(long nowMicros, String name, String event, FieldReader fields) {
        if (event.equals("DOWN")) {
            instances.remove(name);
        } else if (event.equals("ENLIST")) {
            runGuarded(name, start(nowMicros, name, fields));
        } else {
            Instance instance = instances.get(name);
            if (instance == null) {
                throw new WireException("'" + event + "' for '" + name + "', which has not started");
            }
            runGuarded(name, translate(nowMicros, instance, event, fields));
        }
    }

    private Runnable start(long nowMicros, String name, FieldReader fields) {
        long seed = fields.integer();
        SettingsReader reader = new SettingsReader(WireValues.settings(fields));
        Settings settings = reader.read();
        return () -> {
            Balancer balancer = new HaloBalancer(
                    settings, RoutingConstraints.NONE, PeerLoad.NONE, seed, nowMicros, reply.actionsOf(name));
            instances.put(name, new Instance(balancer, reader.reportFields()));
        };
    }

    /** Reads the whole event and returns the call of the balancer. */
    private Runnable translate(long nowMicros, Instance instance, String event, FieldReader fields) {
        return switch (event) {
            case "ANNOUNCE" -> endpointList(nowMicros, instance, fields);
            case "ACCEPT" -> request(nowMicros, instance, fields);
            case "REPORT_BACK" -> outcome(nowMicros, instance, fields);
            case "OPENED" -> streamStart(nowMicros, instance, fields);
            case "PROBED" -> healthCheck(nowMicros, instance, fields);
            case "EXPIRED" -> {
                String id = fields.text();
                yield () -> instance.balancer.onExpired(nowMicros, id);
            }
            case "MAIL" -> {
                int peer = (int) fields.integer();
                byte[] message = WireValues.bytes(fields.textOrNull());
                yield () -> instance.balancer.onGossip(nowMicros, peer, message);
            }
            case "DEADLINE_HIT" -> {
                String timer = fields.text();
                yield () -> instance.balancer.onTimer(nowMicros, timer);
            }
            default -> throw new WireException("message '" + event + "' is unknown");
        };
    }

    private Runnable endpointList(long nowMicros, Instance instance, FieldReader fields) {
        EndpointListKind kind = WireValues.endpointListKind(fields.integer());
        fields.integerOr(0);
        int page = (int) fields.integerOr(-1);
        List<Upstream> entries = kind == EndpointListKind.FAILED ? List.of() : pages.get(page);
        return () -> instance.balancer.onEndpointList(nowMicros, kind, entries);
    }

    private static Runnable request(long nowMicros, Instance instance, FieldReader fields) {
        String id = fields.text();
        long key = fields.integerOr(-1);
        boolean retriedByClient = fields.flag();
        boolean write = fields.flag();
        double costHintMicros = fields.decimalOr(0);
        long remainingMicros = fields.integer();
        String tenant = fields.textOrNull();
        String requestClass = fields.text();
        Request request =
                new Request(id, key, retriedByClient, write, costHintMicros, remainingMicros, tenant, requestClass);
        return () -> instance.balancer.onRequest(nowMicros, request);
    }

    private static Runnable outcome(long nowMicros, Instance instance, FieldReader fields) {
        String id = fields.text();
        int attempt = (int) fields.integer();
        String upstreamId = fields.text();
        Outcome outcome = WireValues.outcome(fields.text());
        long latencyMicros = fields.integerOr(0);
        boolean done = fields.flag();
        LoadReport report = WireValues.loadReport(fields.textOrNull(), instance.reportFields);
        return () ->
                instance.balancer.onOutcome(nowMicros, id, attempt, upstreamId, outcome, latencyMicros, done, report);
    }

    private static Runnable streamStart(long nowMicros, Instance instance, FieldReader fields) {
        String id = fields.text();
        int attempt = (int) fields.integer();
        long latencyMicros = fields.integerOr(0);
        String upstreamId = fields.text();
        return () -> instance.balancer.onStreamStart(nowMicros, id, attempt, upstreamId, latencyMicros);
    }

    private static Runnable healthCheck(long nowMicros, Instance instance, FieldReader fields) {
        String upstreamId = fields.text();
        Outcome outcome = WireValues.outcome(fields.text());
        long latencyMicros = fields.integerOr(0);
        LoadReport report = WireValues.loadReport(fields.textOrNull(), instance.reportFields);
        return () -> instance.balancer.onHealthCheck(nowMicros, upstreamId, outcome, latencyMicros, report);
    }

    /**
     * Calls the balancer. The first exception is reported to the simulator, which ends the run; later calls are
     * skipped.
     */
    private void runGuarded(String instance, Runnable call) {
        if (failed) {
            return;
        }
        try {
            call.run();
        } catch (RuntimeException exception) {
            failed = true;
            reply.reportFailure(instance, exception);
        }
    }
}
