package loadbalancer.trace.export;

import io.opentelemetry.sdk.trace.data.SpanData;
import java.util.List;

/** Destination of spans. Called on the export thread, one batch at a time; may block for its own time-outs. */
interface SpanSink extends AutoCloseable {
    /** Result of a send: {@code retryAfterMicros} is the receiver's Retry-After, 0 for none; {@code reason} is empty on success. */
    record SendResult(DeliverySchedule.BatchResult result, long retryAfterMicros, String reason) {
        static final SendResult ACCEPTED = new SendResult(DeliverySchedule.BatchResult.ACCEPTED, 0, "");
    }

    /** Sends one batch; failures are part of the result. */
    SendResult send(List<SpanData> spans);

    @Override
    void close();
}
