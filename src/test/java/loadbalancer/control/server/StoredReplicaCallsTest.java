package loadbalancer.control.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import loadbalancer.admin.AdminRequest;
import loadbalancer.consensus.DatagramSender;
import loadbalancer.control.ControlReplica;
import loadbalancer.json.JsonObject;
import loadbalancer.stored.StoredSamples;
import loadbalancer.toml.ConfigurationException;
import loadbalancer.toml.ConfigurationTable;
import org.junit.jupiter.api.Test;

/** A control replica's answers to operators' requests, before it is ready and while one scope has an active version. */
class StoredReplicaCallsTest {
    private static final long TICK_MICROS = 20_000;
    private static final int TICKS = 100;
    private static final DatagramSender DISCARD = (to, datagram) -> {};
    private static final String FILE =
            """
            [control]
            fleet = "f"
            replicas = ["127.0.0.1:7301"]
            voters = 1
            me = 0
            admin = "127.0.0.1:7401"
            scopes = ["orders", "payments"]
            folder = "scopes"
            """;
    private static final List<String> REQUESTS = List.of(
            "GET /control/ready",
            "GET /control/scopes",
            "GET /control/scopes/orders",
            "GET /control/scopes/payments",
            "GET /control/scopes/unknown",
            "POST /control/scopes/unknown/propose",
            "POST /control/scopes/unknown/abort",
            "GET /control/counters",
            "GET /control/unknown");

    private static byte[] answers(ControlServer server) {
        StringBuilder lines = new StringBuilder();
        for (String line : REQUESTS) {
            int space = line.indexOf(' ');
            AdminRequest request = AdminRequest.parse(line.substring(0, space), line.substring(space + 1));
            new ControlRequestHandler(server).handle(request, (status, body) -> lines.append(line)
                    .append(" -> ")
                    .append(status)
                    .append(' ')
                    .append(new String(JsonObject.write(body), StandardCharsets.UTF_8))
                    .append('\n'));
        }
        return lines.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Creates a replica that does not listen. */
    private static ControlServer server() throws ConfigurationException {
        return new ControlServer(ControlFile.read(ConfigurationTable.parse("control.toml", FILE, Map.of())));
    }

    /** Ticks a replica for two seconds, starting at {@code startMicros}; returns the time at the end. */
    private static long tick(ControlReplica replica, long startMicros) {
        long nowMicros = startMicros;
        for (int count = 0; count < TICKS; count++) {
            nowMicros += TICK_MICROS;
            replica.tick(nowMicros, DISCARD);
        }
        return nowMicros;
    }

    @Test
    void replicaThatIsNotReadyAnswersAsStored() throws ConfigurationException {
        StoredSamples.assertWritten("admin-calls-replica-starting.txt", answers(server()));
    }

    @Test
    void replicaWithAnActiveVersionAnswersAsStored() throws ConfigurationException {
        // given
        ControlServer server = server();
        ControlReplica replica = server.replica();
        byte[] content = "[zones]\n".getBytes(StandardCharsets.UTF_8);
        long nowMicros = tick(replica, server.nowMicros());
        assertEquals(Optional.empty(), replica.propose(0, content, nowMicros, DISCARD));
        tick(replica, nowMicros);
        // when
        byte[] answers = answers(server);
        // then
        StoredSamples.assertWritten("admin-calls-replica.txt", answers);
    }
}
