package loadbalancer.zones;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.balancing.Balancer;

/**
 * Records the attempts, rejections, failures and timers of a balancer as text, in order, for example
 * {@code "send r1 a1"} or {@code "reject r1"}.
 */
final class RecordingActions implements Balancer.Actions {
    private final List<String> recorded = new ArrayList<>();

    List<String> recorded() {
        return recorded;
    }

    void clear() {
        recorded.clear();
    }

    @Override
    public void send(String requestId, String upstreamId, long untilMicros) {
        recorded.add("send " + requestId + " " + upstreamId);
    }

    @Override
    public void reject(String requestId, long retryAfterMicros) {
        recorded.add("reject " + requestId);
    }

    @Override
    public void fail(String requestId) {
        recorded.add("fail " + requestId);
    }

    @Override
    public void cancel(String requestId, int attemptNumber) {}

    @Override
    public void checkHealth(String upstreamId) {}

    @Override
    public void pollDiscovery() {}

    @Override
    public void gossip(int peer, byte[] message) {}

    @Override
    public void closeIdleConnections(String upstreamId) {}

    @Override
    public void startTimer(String timerName, long delayMicros) {
        recorded.add("timer " + timerName);
    }

    @Override
    public void log(String text) {}
}
