package loadbalancer.grpc;

import io.netty.buffer.ByteBuf;
import loadbalancer.balancing.Balancer.LoadReport;
import loadbalancer.balancing.Balancer.Outcome;
import loadbalancer.core.Attempt;

/** Passes all calls on to another listener, except those that a subclass handles itself. */
class ForwardingAttemptListener implements Attempt.Listener {
    private final Attempt.Listener listener;

    ForwardingAttemptListener(Attempt.Listener listener) {
        this.listener = listener;
    }

    @Override
    public void onEnd(Attempt attempt, Outcome outcome, LoadReport report, ByteBuf body) {
        listener.onEnd(attempt, outcome, report, body);
    }

    @Override
    public boolean isWanted() {
        return listener.isWanted();
    }

    @Override
    public long responseDeadlineMicros() {
        return listener.responseDeadlineMicros();
    }

    @Override
    public void onWritten(Attempt attempt) {
        listener.onWritten(attempt);
    }

    @Override
    public boolean beginStreaming(Attempt attempt) {
        return listener.beginStreaming(attempt);
    }
}
