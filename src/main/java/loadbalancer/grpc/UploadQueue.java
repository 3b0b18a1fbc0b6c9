package loadbalancer.grpc;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.core.MemoryBudget;

/**
 * Grants memory for unary requests that are larger than the initial window, in the order in which they began. Each
 * grant covers the whole request, so that those which have one can always be completed; the senders of the others wait
 * for flow control. While others wait, a request that has stopped arriving loses its grant. No I/O; must be used on the
 * event loop only.
 */
final class UploadQueue {
    /** Room for the largest request, and for the first bytes that show that one is larger. */
    static final int GRANT_BYTES = GrpcServer.MAX_REQUEST + 1024;
    /** Time without any byte after which a request has stopped arriving. */
    private static final long MAX_SILENCE_MICROS = 2_000_000;
    /** Longest time for a whole request: its size at a quarter of the slowest rate of clients, 64 kB/s. */
    private static final long MAX_UPLOAD_MICROS = GRANT_BYTES * 1_000_000L / 16_000;

    private final MemoryBudget budget;
    private final Set<Upload> waiting = new LinkedHashSet<>();
    private final Set<Upload> granted = new LinkedHashSet<>();

    UploadQueue(MemoryBudget budget) {
        this.budget = budget;
    }

    /** A unary request that is larger than the initial window. */
    interface Upload {
        /** Opens the window by {@link #GRANT_BYTES}, which are reserved. */
        void grant();

        /** Whether its last byte has come. */
        boolean isComplete();

        /** Time at which bytes of it last came. */
        long receivedMicros();

        /** Time at which it began. */
        long begunMicros();

        /** Ends the call, of which nothing has run, and withdraws the request. */
        void reject();
    }

    /** Asks for a grant, which may come before this method returns. */
    void request(Upload upload) {
        if (!granted.contains(upload) && waiting.add(upload)) {
            grantNext();
        }
    }

    /**
     * Asks for a grant out of turn, for a request that came before its client knew the initial window. Returns whether
     * there is one.
     */
    boolean requestAtOnce(Upload upload) {
        if (!granted.contains(upload) && budget.tryReserve(GRANT_BYTES)) {
            waiting.remove(upload);
            granted.add(upload);
            upload.grant();
        }
        return granted.contains(upload);
    }

    /** Gives back the grant of a request whose bytes are released, or ends its wait for one. */
    void withdraw(Upload upload) {
        waiting.remove(upload);
        if (granted.remove(upload)) {
            budget.add(-GRANT_BYTES);
            grantNext();
        }
    }

    private void grantNext() {
        while (!waiting.isEmpty() && budget.tryReserve(GRANT_BYTES)) {
            Upload next = waiting.iterator().next();
            waiting.remove(next);
            granted.add(next);
            next.grant();
        }
    }

    /** Rejects requests that have stopped arriving, as far as others wait for their memory. */
    void rejectStalled(long nowMicros) {
        for (Upload upload : List.copyOf(granted)) {
            if (waiting.isEmpty()) {
                return;
            }
            if (!upload.isComplete() && isStalled(upload, nowMicros)) {
                upload.reject();
            }
        }
    }

    private static boolean isStalled(Upload upload, long nowMicros) {
        return nowMicros - upload.receivedMicros() > MAX_SILENCE_MICROS
                || nowMicros - upload.begunMicros() > MAX_UPLOAD_MICROS;
    }
}
