package loadbalancer.core;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.Executor;

/**
 * Creates the single event loop of a sidecar. Netty's selector sleeps for the delay rounded to the nearest millisecond
 * and then spins until a timer is due, which costs CPU with hundreds of timers per second. This loop rounds up
 * instead, so a timer may fire up to one millisecond late. No timer of a sidecar needs a precision better than five
 * milliseconds.
 */
public final class EventLoops {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private EventLoops() {}

    /** Creates a group of one event loop, whose thread starts with its first task. */
    public static MultiThreadIoEventLoopGroup single() {
        return single(NioIoHandler.newFactory());
    }

    static MultiThreadIoEventLoopGroup single(IoHandlerFactory factory) {
        return new MultiThreadIoEventLoopGroup(1, factory) {
            @Override
            protected IoEventLoop newChild(Executor executor, IoHandlerFactory handlers, Object... arguments) {
                return new RoundingEventLoop(this, executor, handlers);
            }
        };
    }

    /** Updates {@code latency} with each iteration of the loop from now on; null stops. Runs as a task of the loop. */
    public static void measureLatency(EventLoop loop, LoopLatency latency) {
        loop.execute(() -> ((RoundingEventLoop) loop).latency = latency);
    }

    /** Creates a handler for the head of a pipeline, which updates {@code latency} with each read. */
    public static ChannelInboundHandler latencyHandler(LoopLatency latency) {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                latency.eventHandled(System.nanoTime());
                ctx.fireChannelRead(message);
            }
        };
    }

    /** A delay that Netty's rounding to the nearest millisecond rounds up. A delay that is due is returned as it is. */
    static long roundUpToMillis(long delayNanos) {
        return delayNanos <= 0 || delayNanos > Long.MAX_VALUE - NANOS_PER_MILLI
                ? delayNanos
                : delayNanos + NANOS_PER_MILLI / 2 - 1;
    }

    private static final class RoundingEventLoop extends SingleThreadIoEventLoop {
        private LoopLatency latency;

        RoundingEventLoop(MultiThreadIoEventLoopGroup parent, Executor executor, IoHandlerFactory handlers) {
            super(parent, executor, handlers);
        }

        @Override
        protected int runIo() {
            if (latency == null) {
                return super.runIo();
            }
            latency.iterationStarted(System.nanoTime());
            int handledEvents = super.runIo();
            if (latency != null) {
                latency.iterationEventsHandled(System.nanoTime());
            }
            return handledEvents;
        }

        @Override
        protected long delayNanos(long nowNanos) {
            return roundUpToMillis(super.delayNanos(nowNanos));
        }
    }
}
