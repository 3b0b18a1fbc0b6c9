package loadbalancer.stored;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.admin.AdminRequest;
import loadbalancer.admin.AdminRequestHandler;
import loadbalancer.admin.AdminServer;
import loadbalancer.admin.SidecarControl;
import loadbalancer.admin.SidecarRequestHandler;
import loadbalancer.json.JsonObject;
import loadbalancer.metrics.Metrics;
import loadbalancer.metrics.Metrics.RequestOutcome;
import org.junit.jupiter.api.Test;

/** Compatibility of operators' requests to the admin server and of its responses. */
class AdminCallsTest {
    private static final String SIDECAR = "admin-calls-sidecar.txt", NO_CONSENSUS = "admin-calls-no-consensus.txt";

    /** All valid requests and typical invalid ones, by the start of their request line. */
    private static Map<String, AdminRequest> requests() {
        Map<String, AdminRequest> requests = new LinkedHashMap<>();
        requests.put("GET /control/ready", new AdminRequest.Ready());
        requests.put("GET /control/counters?pretty", new AdminRequest.Counters());
        requests.put("POST /control/upstreams/orders-1/offline", new AdminRequest.Offline("orders-1"));
        requests.put("POST /control/upstreams/orders%2F1/online", new AdminRequest.Online("orders/1"));
        requests.put("POST /control/upstreams/unknown/offline", new AdminRequest.Offline("unknown"));
        requests.put("POST /control/out-of-service", new AdminRequest.OutOfService());
        requests.put("POST /control/in-service", new AdminRequest.InService());
        requests.put("GET /control/policy", new AdminRequest.Policy());
        requests.put("POST /control/policy/propose", new AdminRequest.Propose());
        requests.put("POST /control/policy/abort", new AdminRequest.Abort());
        requests.put("GET /control/scopes", new AdminRequest.Scopes());
        requests.put("GET /control/scopes/orders", new AdminRequest.Scope("orders"));
        requests.put("POST /control/scopes/orders/propose", new AdminRequest.ProposeScope("orders"));
        requests.put("POST /control/scopes/orders/abort", new AdminRequest.AbortScope("orders"));
        requests.put("POST /control/ready", new AdminRequest.Unrecognized(405, "this call takes GET"));
        requests.put("GET /control/policy/abort", new AdminRequest.Unrecognized(405, "this call takes POST"));
        requests.put("GET /control/unknown", new AdminRequest.Unrecognized(404, "no such call"));
        requests.put(
                "POST /control/upstreams/%zz/offline",
                new AdminRequest.Unrecognized(400, "the upstream's id can't be read"));
        requests.put("GET /control/scopes/%zz", new AdminRequest.Unrecognized(400, "the scope's name can't be read"));
        return requests;
    }

    private static Metrics sampleMetrics() {
        Metrics metrics = new Metrics();
        metrics.addClass("search");
        metrics.addClass("checkout");
        for (int i = 0; i < 7; i++) {
            metrics.requestAdmitted();
            metrics.attemptSent();
        }
        metrics.requestCompleted("search", RequestOutcome.SERVED);
        metrics.requestCompleted("search", RequestOutcome.SERVED);
        metrics.requestCompleted("search", RequestOutcome.REJECTED);
        metrics.requestCompleted("checkout", RequestOutcome.FAILED);
        metrics.requestCompleted("checkout", RequestOutcome.CANCELLED);
        metrics.configurationReloaded(true);
        metrics.configurationReloaded(true);
        metrics.configurationReloaded(false);
        return metrics;
    }

    /** A sidecar with fixed responses, which has all upstreams except {@code unknown}. */
    private record FixedSidecar(boolean isReady, Optional<Map<String, Object>> policy, String rejection)
            implements SidecarControl {
        @Override
        public Map<String, Object> counters() {
            return sampleMetrics().snapshot(12, 1).toJson();
        }

        @Override
        public void setOffline(String upstreamId, boolean offline, Consumer<Boolean> onResult) {
            onResult.accept(!upstreamId.equals("unknown"));
        }

        @Override
        public void propose(Consumer<String> onResult) {
            onResult.accept(rejection);
        }

        @Override
        public void abort(Consumer<String> onResult) {
            onResult.accept(rejection);
        }

        @Override
        public void setOutOfService(boolean outOfService) {
            // There are no clients in this test.
        }
    }

    private static byte[] responsesOf(SidecarControl control) {
        AdminRequestHandler handler = new SidecarRequestHandler(control);
        StringBuilder lines = new StringBuilder();
        requests()
                .forEach((line, request) -> handler.handle(request, (status, body) -> lines.append(line)
                        .append(" -> ")
                        .append(status)
                        .append(' ')
                        .append(new String(JsonObject.write(body), StandardCharsets.UTF_8))
                        .append('\n')));
        return lines.toString().getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void storedRequestsAreParsed() {
        List<String> storedRequests = new ArrayList<>();
        for (String line : StoredSamples.lines(SIDECAR)) {
            String request = line.substring(0, line.indexOf(" -> "));
            storedRequests.add(request);
            int space = request.indexOf(' ');
            assertEquals(
                    requests().get(request),
                    AdminRequest.parse(request.substring(0, space), request.substring(space + 1)),
                    request);
        }
        assertEquals(List.copyOf(requests().keySet()), storedRequests);
    }

    @Test
    void sidecarResponsesEqualTheStoredOnesByteForByte() {
        Map<String, Object> policy = Map.of("version", "a11ce0002");
        StoredSamples.assertWritten(SIDECAR, responsesOf(new FixedSidecar(true, Optional.of(policy), null)));
    }

    @Test
    void responsesWithoutReadinessAndConsensusEqualTheStoredOnesByteForByte() {
        StoredSamples.assertWritten(NO_CONSENSUS, responsesOf(new FixedSidecar(false, Optional.empty(), "unused")));
    }

    @Test
    void responsesToRejectedChangesEqualTheStoredOnesByteForByte() {
        SidecarControl control =
                new FixedSidecar(true, Optional.of(Map.of()), "a change is under way: see its status, or take it back");
        StringBuilder responses = new StringBuilder();
        for (AdminRequest request : List.of(new AdminRequest.Propose(), new AdminRequest.Abort())) {
            new SidecarRequestHandler(control).handle(request, (status, body) -> responses
                    .append(status)
                    .append(' ')
                    .append(new String(JsonObject.write(body), StandardCharsets.UTF_8))
                    .append('\n'));
        }
        StoredSamples.assertWritten(
                "admin-answers-conflict.txt", responses.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Compares status line, headers and body, including the newline after the body. */
    @Test
    void httpResponseEqualsTheStoredOneByteForByte() throws Exception {
        NioEventLoopGroup loop = new NioEventLoopGroup(1);
        try {
            InetSocketAddress address = new AdminServer(
                            loop.next(), new SidecarRequestHandler(new FixedSidecar(true, Optional.empty(), null)))
                    .listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                socket.getOutputStream().write(StoredSamples.bytes("admin-request-counters.http"));
                StoredSamples.assertWritten(
                        "admin-response-counters.http", socket.getInputStream().readAllBytes());
            }
        } finally {
            loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
