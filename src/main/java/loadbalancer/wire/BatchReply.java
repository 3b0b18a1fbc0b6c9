package loadbalancer.wire;

import java.util.Base64;
import loadbalancer.balancing.Balancer;

/** The reply to one batch: the actions of the instances, grouped under the names of their instances. */
final class BatchReply {
    private static final int INITIAL_CAPACITY = 1 << 16;

    private final StringBuilder lines = new StringBuilder(INITIAL_CAPACITY);
    private String currentInstance;

    /** Discards the lines of the previous batch. */
    void clear() {
        lines.setLength(0);
        currentInstance = null;
    }

    /** Appends the closing line and returns the whole reply. */
    String finish() {
        return lines.append("OK\n").toString();
    }

    /** Reports that the instance's balancer threw {@code error}, on one line. */
    void reportFailure(String instance, RuntimeException error) {
        StackTraceElement[] trace = error.getStackTrace();
        line(instance, "DIE ")
                .append(error.toString().replace('\n', ' '))
                .append(trace.length > 0 ? " at " + trace[0] : "")
                .append('\n');
    }

    /** Returns actions that append their lines to the reply under the instance's name. */
    Balancer.Actions actionsOf(String instance) {
        return new InstanceActions(instance);
    }

    private StringBuilder line(String instance, String action) {
        if (!instance.equals(currentInstance)) {
            lines.append("BY ").append(instance).append('\n');
            currentInstance = instance;
        }
        return lines.append(action);
    }

    private final class InstanceActions implements Balancer.Actions {
        private final String instance;

        InstanceActions(String instance) {
            this.instance = instance;
        }

        @Override
        public void send(String requestId, String upstreamId, long untilMicros) {
            line(instance, "ASSIGN ")
                    .append(requestId)
                    .append(' ')
                    .append(upstreamId)
                    .append(' ')
                    .append(untilMicros)
                    .append('\n');
        }

        @Override
        public void reject(String requestId, long retryAfterMicros) {
            line(instance, "DENY ")
                    .append(requestId)
                    .append(' ')
                    .append(retryAfterMicros)
                    .append('\n');
        }

        @Override
        public void fail(String requestId) {
            line(instance, "FAIL ").append(requestId).append('\n');
        }

        @Override
        public void cancel(String requestId, int attempt) {
            line(instance, "REVOKE ")
                    .append(requestId)
                    .append(' ')
                    .append(attempt)
                    .append('\n');
        }

        @Override
        public void checkHealth(String upstreamId) {
            line(instance, "SAMPLE ").append(upstreamId).append('\n');
        }

        @Override
        public void pollDiscovery() {
            line(instance, "TRACK 1\n");
        }

        @Override
        public void gossip(int peer, byte[] message) {
            line(instance, "WRITE_PEER ")
                    .append(peer)
                    .append(' ')
                    .append(Base64.getEncoder().encodeToString(message))
                    .append('\n');
        }

        @Override
        public void closeIdleConnections(String upstreamId) {
            line(instance, "LET_GO ").append(upstreamId).append('\n');
        }

        @Override
        public void startTimer(String mark, long delayMicros) {
            line(instance, "SCHEDULE ")
                    .append(mark)
                    .append(' ')
                    .append(delayMicros)
                    .append('\n');
        }

        @Override
        public void log(String text) {
            line(instance, "TRACE ").append(text).append('\n');
        }
    }
}
