package loadbalancer.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;

/** The bound on unread time covers the time in which the loop did not poll its sockets, and no more. */
class LoopLatencyTest {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private static long millis(long millis) {
        return millis * NANOS_PER_MILLI;
    }

    @Test
    void firstEventAfterASleepWasNotUnread() {
        // given
        LoopLatency latency = new LoopLatency();
        assertEquals(0, latency.maxUnreadNanos(millis(5)));
        // when
        latency.iterationStarted(0);
        latency.eventHandled(millis(100));
        // then
        assertEquals(0, latency.maxUnreadNanos(millis(100)));
        // The second event of the iteration has waited for the first.
        assertEquals(millis(3), latency.maxUnreadNanos(millis(103)));
        latency.iterationEventsHandled(millis(104));
    }

    @Test
    void eventOfABusyLoopMayHaveWaitedSinceTheFirstEventOfThePreviousIteration() {
        // given
        LoopLatency latency = new LoopLatency();
        latency.iterationStarted(0);
        latency.eventHandled(millis(10));
        latency.iterationEventsHandled(millis(60));
        // when
        latency.iterationStarted(millis(90));
        latency.eventHandled(millis(90));
        // then
        assertEquals(millis(80), latency.maxUnreadNanos(millis(90)));
        // when: an iteration with tasks only counts from the end of its events
        latency.iterationStarted(millis(100));
        latency.iterationEventsHandled(millis(100));
        latency.iterationStarted(millis(140));
        latency.eventHandled(millis(140));
        // then
        assertEquals(millis(40), latency.maxUnreadNanos(millis(140)));
        // when: an iteration that slept does not count earlier ones
        latency.iterationStarted(millis(141));
        latency.eventHandled(millis(300));
        // then
        assertEquals(0, latency.maxUnreadNanos(millis(300)));
    }

    @Test
    void realLoopReportsTheTimeOfALongTask() throws Exception {
        // given
        LoopLatency latency = new LoopLatency();
        MultiThreadIoEventLoopGroup group = EventLoops.single();
        EventLoops.measureLatency(group.next(), latency);
        long unreadNanos = 0;
        // when: both tasks may run in one iteration or in two, but the loop reads nothing in between
        for (int i = 0; i < 100 && unreadNanos < millis(30); i++) {
            group.next().execute(LoopLatencyTest::blockLoop);
            unreadNanos = group.next()
                    .submit(() -> latency.maxUnreadNanos(System.nanoTime()))
                    .sync()
                    .getNow();
        }
        // then
        assertTrue(unreadNanos >= millis(30), "unread for " + unreadNanos + " ns, expected at least 30 ms");
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private static void blockLoop() {
        long untilNanos = System.nanoTime() + millis(30);
        while (System.nanoTime() < untilNanos) {
            LockSupport.parkNanos(NANOS_PER_MILLI);
        }
    }
}
