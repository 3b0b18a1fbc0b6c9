package loadbalancer.benchmark;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.balancing.Balancer.Idempotency;
import loadbalancer.testbed.SidecarProcess;
import loadbalancer.testbed.Testbed;
import loadbalancer.testbed.UpstreamShape;

/** A chain of real sidecars and stand-in services on loopback: each service calls the next one through a sidecar of its own. */
public final class ChainRun implements AutoCloseable {
    /** The class of all requests: safe to repeat. */
    static final String LANE = Testbed.lanes().stream()
            .filter(lane -> lane.semantics() == Idempotency.IDEMPOTENT)
            .findFirst()
            .orElseThrow()
            .name();

    private static final int UPSTREAMS = 2;
    private static final long REMAINING_MS = 3_000;
    private static final int WARM_UP = 1_000;

    /**
     * Time that one request takes through the whole chain, microseconds.
     *
     * @param p99Us 99 in 100 take no longer
     */
    public record Times(double medianUs, double p99Us) {}

    private final Testbed world;
    private final List<ChainHop> hops = new ArrayList<>();
    private final List<InetSocketAddress> sidecars = new ArrayList<>();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** {@code depth}: services, each behind a sidecar. */
    public ChainRun(int depth) throws Exception {
        world = new Testbed(UpstreamShape.SMALL).patient();
        try {
            world.nodes(UPSTREAMS);
            for (int i = 0; i < depth; i++) {
                hops.add(new ChainHop());
            }
            world.registry().listAddresses((sidecar, node) -> text(hops.get(Integer.parseInt(sidecar.substring(1)))));
            for (ChainHop hop : hops) {
                sidecars.add(startSidecar(hop).address());
            }
            for (InetSocketAddress sidecar : sidecars) {
                world.ready(sidecar).get(60, TimeUnit.SECONDS);
            }
        } catch (Exception exception) {
            close();
            throw exception;
        }
    }

    private SidecarProcess startSidecar(ChainHop hop) throws IOException, InterruptedException {
        Map<String, Object> list = Testbed.list(
                40,
                world.nodes().stream()
                        .map(node -> Testbed.Listed.of(node, text(hop)))
                        .toList());
        return world.sidecar(1, list, null);
    }

    private static String text(ChainHop hop) {
        return "127.0.0.1:" + hop.address().getPort();
    }

    /** Each service calls the next one through its sidecar, or without. */
    private InetSocketAddress wire(boolean throughSidecars) {
        for (int i = 0; i + 1 < hops.size(); i++) {
            hops.get(i)
                    .calls(
                            throughSidecars
                                    ? sidecars.get(i + 1)
                                    : hops.get(i + 1).address());
        }
        return throughSidecars ? sidecars.get(0) : hops.get(0).address();
    }

    /** Requests one after the other, {@code count} of them, behind some that warm the chain up. */
    public Times times(boolean throughSidecars, int count) throws IOException, InterruptedException {
        InetSocketAddress first = wire(throughSidecars);
        for (int i = 0; i < WARM_UP; i++) {
            ChainHop.call(client, first, REMAINING_MS);
        }
        double[] tookUs = new double[count];
        for (int i = 0; i < count; i++) {
            long begun = System.nanoTime();
            ChainHop.call(client, first, REMAINING_MS);
            tookUs[i] = (System.nanoTime() - begun) / 1e3;
        }
        Arrays.sort(tookUs);
        return new Times(tookUs[count / 2], tookUs[count * 99 / 100]);
    }

    /** Requests that reach the last service for each one at the first, while the last one answers nothing but errors. */
    public double attemptsAtLast(int count) throws IOException, InterruptedException {
        InetSocketAddress first = wire(true);
        ChainHop last = hops.get(hops.size() - 1);
        last.fails(true);
        long before = last.requests();
        for (int i = 0; i < count; i++) {
            ChainHop.call(client, first, REMAINING_MS);
        }
        last.fails(false);
        return (double) (last.requests() - before) / count;
    }

    @Override
    public void close() throws IOException {
        hops.forEach(ChainHop::close);
        world.close();
    }
}
