package loadbalancer.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** The event loop sleeps until a timer is due instead of spinning for the last fraction of a millisecond. */
class EventLoopsTest {
    private static final int TIMERS = 300;

    /** Time for which Netty's selector sleeps for this delay, in milliseconds. */
    private static long sleepMillis(long delayNanos) {
        return (EventLoops.roundUpToMillis(delayNanos) + 500_000) / 1_000_000;
    }

    @Test
    void delayIsRoundedUpToTheNextWholeMillisecond() {
        assertEquals(0, sleepMillis(0));
        assertEquals(1, sleepMillis(1));
        assertEquals(1, sleepMillis(340_000));
        assertEquals(1, sleepMillis(1_000_000));
        assertEquals(2, sleepMillis(1_000_001));
        assertEquals(5, sleepMillis(4_400_000));
        assertEquals(-7, EventLoops.roundUpToMillis(-7));
        assertEquals(Long.MAX_VALUE, EventLoops.roundUpToMillis(Long.MAX_VALUE));
    }

    /** Between two timers 1.4 ms apart, a loop that sleeps iterates a few times and one that spins over 100 times. */
    @Test
    void loopSleepsBeforeATimer() throws Exception {
        // given
        AtomicInteger iterations = new AtomicInteger();
        IoHandlerFactory nio = NioIoHandler.newFactory();
        MultiThreadIoEventLoopGroup group = EventLoops.single(executor -> (IoHandler) Proxy.newProxyInstance(
                IoHandler.class.getClassLoader(),
                new Class<?>[] {IoHandler.class},
                countingIterations(nio.newHandler(executor), iterations)));
        // when
        for (int i = 0; i < TIMERS; i++) {
            group.next().schedule(() -> {}, 1_400, TimeUnit.MICROSECONDS).sync();
        }
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        // then
        assertTrue(iterations.get() < 10 * TIMERS, iterations + " iterations for " + TIMERS + " timers");
    }

    private static InvocationHandler countingIterations(IoHandler handler, AtomicInteger iterations) {
        return (proxy, method, arguments) -> {
            if (method.getName().equals("run")) {
                iterations.incrementAndGet();
            }
            return method.invoke(handler, arguments);
        };
    }
}
