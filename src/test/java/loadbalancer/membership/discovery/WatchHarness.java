package loadbalancer.membership.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import loadbalancer.core.Clock;
import loadbalancer.core.Timers;
import loadbalancer.membership.EndpointList;
import loadbalancer.membership.PartialEndpointList;

/** Simulates discovery, the event loop and the balancer around a watch, on virtual time. */
class WatchHarness implements DiscoveryClient, DiscoveryWatch.Listener, Timers {
    private static final class ScheduledTask implements Timers.Timer {
        final long atMicros;
        Runnable task;

        ScheduledTask(long atMicros, Runnable task) {
            this.atMicros = atMicros;
            this.task = task;
        }

        @Override
        public void cancel() {
            task = () -> {};
        }
    }

    final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>(Comparator.comparingLong(task -> task.atMicros));
    final List<DiscoveryCall> calls = new ArrayList<>();
    final List<Long> failedMillis = new ArrayList<>();
    final List<PartialEndpointList> partialLists = new ArrayList<>();
    final DiscoveryWatch watch;
    long currentMicros;
    int disconnectCount;
    /** Thrown when a list is applied; null if lists are applied. */
    RuntimeException listError;

    /** Version of the list that the watch continues from. */
    static final long INITIAL_GENERATION = 41;

    WatchHarness(boolean selfPolling, long pollIntervalMicros, long seed) {
        Clock clock = new Clock() {
            @Override
            public long nowMicros() {
                return currentMicros;
            }
        };
        watch = new DiscoveryWatch(
                this,
                clock,
                this,
                this,
                new DiscoveryWatch.Options(INITIAL_GENERATION, pollIntervalMicros, selfPolling, false, seed));
        if (selfPolling) {
            watch.start();
        } else {
            watch.poll();
        }
    }

    @Override
    public Timer schedule(long delayMicros, Runnable task) {
        ScheduledTask next = new ScheduledTask(currentMicros + delayMicros, task);
        tasks.add(next);
        return next;
    }

    void runUntilMillis(long millis) {
        while (!tasks.isEmpty() && tasks.peek().atMicros <= millis * 1000) {
            ScheduledTask next = tasks.poll();
            currentMicros = next.atMicros;
            next.task.run();
        }
        currentMicros = millis * 1000;
    }

    /** Runs until the watch has started the call with this number, counted from 1, and returns the call. */
    DiscoveryCall awaitCall(int number) {
        for (long millis = currentMicros / 1000; calls.size() < number; millis++) {
            assertTrue(millis < 100_000, "call " + number + " has not started after 100 s");
            runUntilMillis(millis);
        }
        return calls.get(number - 1);
    }

    @Override
    public void get(String uri, ResponseListener listener) {
        calls.add(new DiscoveryCall(currentMicros / 1000, uri, listener));
    }

    @Override
    public void disconnect() {
        disconnectCount++;
    }

    @Override
    public void onList(EndpointList list, boolean answersPoll) {
        if (listError != null) {
            throw listError;
        }
    }

    @Override
    public void onPartialList(PartialEndpointList list) {
        partialLists.add(list);
    }

    @Override
    public void onFailure(Runnable retry) {
        failedMillis.add(currentMicros / 1000);
    }
}
