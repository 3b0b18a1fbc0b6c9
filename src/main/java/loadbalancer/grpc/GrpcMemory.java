package loadbalancer.grpc;

import io.netty.util.internal.PlatformDependent;
import loadbalancer.core.EndReasons;
import loadbalancer.core.MemoryBudget;

/**
 * The memory for the messages of all gRPC calls together, in shares of what the JVM may use. Beyond a share responses
 * are forwarded instead of held, and senders wait for flow control.
 */
final class GrpcMemory {
    /** Share of the JVM's limit on direct memory, or on the heap, for each budget. */
    private static final int LIMIT_DIVISOR = 5;

    private final MemoryBudget responses;
    private final MemoryBudget windows;
    private final MemoryBudget uploads;
    private final MemoryBudget replays;

    GrpcMemory(EndReasons endReasons) {
        long directBytes = PlatformDependent.maxDirectMemory();
        long heapBytes = Runtime.getRuntime().maxMemory();
        responses = budget(endReasons, directBytes / LIMIT_DIVISOR, "gRPC responses");
        windows = budget(endReasons, directBytes / LIMIT_DIVISOR, "gRPC windows");
        uploads = budget(endReasons, heapBytes / LIMIT_DIVISOR, "gRPC uploads");
        replays = budget(endReasons, heapBytes / LIMIT_DIVISOR / 2, "gRPC replays");
    }

    private static MemoryBudget budget(EndReasons endReasons, long limitBytes, String name) {
        return new MemoryBudget(limitBytes, () -> endReasons.record(EndReasons.Subject.MEMORY_EXCEEDED, name));
    }

    /** For the received part of responses, until clients have taken it. */
    MemoryBudget responses() {
        return responses;
    }

    /** For flow-control windows beyond the initial size. */
    MemoryBudget windows() {
        return windows;
    }

    /** For unary requests that are larger than the initial window. */
    MemoryBudget uploads() {
        return uploads;
    }

    /** For the part of streaming requests that another attempt would need. */
    MemoryBudget replays() {
        return replays;
    }
}
