package loadbalancer.core;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import java.util.function.Function;
import loadbalancer.balancing.Balancer;

/**
 * Makes all calls of the {@link Balancer} and carries out its actions. Actions are deferred until the balancer's call
 * has returned, so that they can't re-enter it. An exception of the balancer or of an action is logged; the calls and
 * actions queued after it are still made.
 */
public final class BalancerDispatcher {
    private final ArrayDeque<Runnable> calls = new ArrayDeque<>();
    private final ArrayDeque<Runnable> actions = new ArrayDeque<>();
    private Balancer balancer;
    private boolean running;

    /** Creates the balancer, whose constructor may already take actions; {@code target} carries them out. */
    public void start(Function<Balancer.Actions, Balancer> factory, Balancer.Actions target) {
        calls.add(() -> balancer = factory.apply(new DeferredActions(target)));
        run();
    }

    /** Calls the balancer after all earlier calls have returned; {@code onFailure} runs if it throws. */
    public void call(Consumer<Balancer> call, Runnable onFailure) {
        calls.add(() -> {
            try {
                call.accept(balancer);
            } catch (RuntimeException cause) {
                // After a defect of the balancer the sidecar answers the request itself and keeps serving.
                Log.fault("balancer call failed", cause);
                actions.add(onFailure);
            }
        });
        if (!running) {
            run();
        }
    }

    private void run() {
        running = true;
        try {
            for (Runnable call; (call = calls.poll()) != null; ) {
                call.run();
                for (Runnable action; (action = actions.poll()) != null; ) {
                    try {
                        action.run();
                    } catch (RuntimeException cause) {
                        // A defect of one action must not affect the next ones, which belong to other requests.
                        Log.fault("balancer action failed", cause);
                    }
                }
            }
        } finally {
            running = false;
        }
    }

    /** Queues the balancer's actions until its call has returned. */
    private final class DeferredActions implements Balancer.Actions {
        private final Balancer.Actions target;

        DeferredActions(Balancer.Actions target) {
            this.target = target;
        }

        @Override
        public void send(String request, String upstream, long untilMicros) {
            actions.add(() -> target.send(request, upstream, untilMicros));
        }

        @Override
        public void reject(String request, long retryAfterMicros) {
            actions.add(() -> target.reject(request, retryAfterMicros));
        }

        @Override
        public void fail(String request) {
            actions.add(() -> target.fail(request));
        }

        @Override
        public void cancel(String request, int attempt) {
            actions.add(() -> target.cancel(request, attempt));
        }

        @Override
        public void checkHealth(String upstream) {
            actions.add(() -> target.checkHealth(upstream));
        }

        @Override
        public void pollDiscovery() {
            actions.add(target::pollDiscovery);
        }

        @Override
        public void gossip(int peer, byte[] message) {
            actions.add(() -> target.gossip(peer, message));
        }

        @Override
        public void closeIdleConnections(String upstream) {
            actions.add(() -> target.closeIdleConnections(upstream));
        }

        @Override
        public void startTimer(String timerName, long delayMicros) {
            actions.add(() -> target.startTimer(timerName, delayMicros));
        }

        @Override
        public void log(String text) {
            actions.add(() -> target.log(text));
        }
    }
}
