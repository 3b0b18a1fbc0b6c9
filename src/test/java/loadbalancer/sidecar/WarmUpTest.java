package loadbalancer.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.balancing.Balancer;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.balancing.HaloBalancer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Code that has never run is slow: the warm-up must run it before full traffic does, but a real request must not wait
 * for the warm-up.
 */
@Timeout(60)
class WarmUpTest {
    @Test
    void warmUpSendsRequestsThroughBalancerAndSockets() throws Exception {
        AtomicInteger served = new AtomicInteger();
        CountDownLatch tenServed = new CountDownLatch(1);
        Engine.BalancerFactory counting = (settings, others, seed, nowMicros, actions) -> {
            Balancer policy = new HaloBalancer(
                    settings, loadbalancer.balancing.RoutingConstraints.NONE, others, seed, nowMicros, actions);
            return (Balancer) Proxy.newProxyInstance(
                    Balancer.class.getClassLoader(), new Class<?>[] {Balancer.class}, (proxy, method, arguments) -> {
                        if (method.getName().equals("onOutcome")
                                && arguments[4] == Outcome.OK
                                && served.incrementAndGet() >= 10) {
                            tenServed.countDown();
                        }
                        return method.invoke(policy, arguments);
                    });
        };
        WarmUp warmUp = new WarmUp(
                SidecarHarness.config("{\"name\":\"n\",\"listen\":\"127.0.0.1:0\","
                        + "\"discovery\":\"127.0.0.1:9\",\"seed\":\"1\",\"known\":" + SidecarHarness.list(1, true)
                        + ",\"settings\":"
                        + SidecarHarness.SETTINGS + "}"),
                counting);
        warmUp.run();
        assertTrue(tenServed.await(0, TimeUnit.SECONDS), served + " requests were served");
    }

    @Test
    void duringWarmUpSidecarIsNotReadyAndRequestAbortsWarmUp() throws Exception {
        CountDownLatch aborted = new CountDownLatch(1);
        try (SidecarHarness harness = new SidecarHarness()) {
            harness.addUpstream((m, connection) -> connection.respond("200 OK", "", "ok"));
            harness.onWarmUpRequest = aborted::countDown;
            harness.start();
            try (ScriptedServer.Client client = harness.client()) {
                client.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
                assertEquals(503, client.status());
                assertEquals(1, aborted.getCount());
                client.send(SidecarHarness.get("a1", 20_000));
                assertEquals(200, client.status());
                assertTrue(aborted.await(20, TimeUnit.SECONDS));
                harness.sidecar.endWarmUp();
                client.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
                assertEquals(200, client.status());
            }
        }
    }
}
