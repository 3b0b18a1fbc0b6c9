package loadbalancer.http1;

import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * The requests that a client has pipelined after the one being handled, in order. Requests beyond the limits may be
 * rejected in their turn: of these, which come last, only the number is kept.
 */
final class RequestPipeline {
    /**
     * Limit on pipelined requests. At the limit the connection is read only to look for its end, and further requests
     * are rejected.
     */
    private static final int MAX_REQUESTS = 512;

    private static final int MAX_BYTES = 1024 * 1024;
    /** Replaces {@link #MAX_REQUESTS} while the {@link BufferBudget} is exceeded. */
    private static final int MAX_REQUESTS_UNDER_PRESSURE = 32;

    private final BufferBudget budget;
    private final ArrayDeque<PendingRequest> requests = new ArrayDeque<>();
    private int bytes;
    /** Number of requests behind those waiting that get a rejection. */
    private int rejections;

    RequestPipeline(BufferBudget budget) {
        this.budget = budget;
    }

    void add(PendingRequest request) {
        requests.add(request);
        bytes += request.bytes();
        budget.add(request.bytes());
    }

    /** Adds a rejection behind all requests. */
    void addRejection() {
        rejections++;
    }

    /** Whether requests have been rejected, so that all later ones must be rejected too to keep the order. */
    boolean hasRejections() {
        return rejections > 0;
    }

    /** Removes a rejection whose turn has come. Returns false if requests wait before it, or there is none. */
    boolean pollRejection() {
        if (!requests.isEmpty() || rejections == 0) {
            return false;
        }
        rejections--;
        return true;
    }

    /** Whether a request waits that was not rejected, and the next one has been received completely. */
    boolean isCompleteRequestNext() {
        PendingRequest next = requests.peek();
        return next != null && (next.largeBody() == null || next.largeBody().isComplete());
    }

    /** Number of requests and rejections that wait. */
    int size() {
        return requests.size() + rejections;
    }

    /** Removes and returns the next request, whose message the caller releases; null if there is none. */
    PendingRequest poll() {
        PendingRequest request = requests.poll();
        if (request != null) {
            removed(request);
        }
        return request;
    }

    boolean isEmpty() {
        return size() == 0;
    }

    /** Whether another request may be read. */
    boolean hasCapacity() {
        return requests.size() < (budget.hasCapacity() ? MAX_REQUESTS : MAX_REQUESTS_UNDER_PRESSURE)
                && bytes < MAX_BYTES;
    }

    /** Drops the request with this large body, if it is still in the pipeline. Returns whether it was. */
    boolean drop(RequestBodyForwarder largeBody) {
        for (Iterator<PendingRequest> waiting = requests.iterator(); waiting.hasNext(); ) {
            PendingRequest request = waiting.next();
            if (request.largeBody() == largeBody) {
                waiting.remove();
                removed(request);
                request.message().release();
                return true;
            }
        }
        return false;
    }

    /** Drops all requests. */
    void clear() {
        for (PendingRequest request; (request = poll()) != null; ) {
            request.message().release();
        }
        rejections = 0;
    }

    private void removed(PendingRequest request) {
        bytes -= request.bytes();
        budget.add(-request.bytes());
    }
}
