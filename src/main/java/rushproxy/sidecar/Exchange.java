package rushproxy.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import rushproxy.Balancer.Request;

/** One request, from its last byte read to its one final answer and the end of its last attempt. */
final class Exchange {
    /** Where the final answer goes. Each exchange calls one of these once. */
    interface Answer {
        void served(ByteBuf body);

        void refused(long retryAfterUs);

        void failed();
    }

    final Request request;
    final HttpMethod method;
    final String uri;
    /** Null where the request carries no key. */
    final String idempotencyKey;
    final byte[] body;
    /** Module time by which the final answer must be on its way. */
    final long deadlineUs;
    final Answer answer;
    final List<Upstreams.Call> attempts = new ArrayList<>(1);
    Future<?> overdue;
    boolean over;

    Exchange(Request request, HttpMethod method, String uri, String idempotencyKey, byte[] body, long deadlineUs,
             Answer answer) {
        this.request = request;
        this.method = method;
        this.uri = uri;
        this.idempotencyKey = idempotencyKey;
        this.body = body;
        this.deadlineUs = deadlineUs;
        this.answer = answer;
    }

    boolean settled() {
        return over && noneOut();
    }

    boolean noneOut() {
        return attempts.stream().allMatch(Upstreams.Call::ended);
    }
}
