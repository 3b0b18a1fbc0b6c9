package loadbalancer.trace.export;

import io.opentelemetry.exporter.internal.marshal.Marshaler;
import io.opentelemetry.exporter.internal.otlp.traces.TraceRequestMarshaler;
import io.opentelemetry.sdk.trace.data.SpanData;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.Proxy;
import java.net.URL;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.operator.OperatorConfiguration.CollectorOptions;

/**
 * Sends spans as OTLP over HTTP in binary form (OTLP specification 1.x, "OTLP/HTTP"). 200 and 202 mean accepted; 429, 502, 503,
 * 504 and connection errors may be retried, after Retry-After where the collector sends it; other codes reject the batch.
 * Blocks for at most the configured time-outs and reads a bounded part of the response.
 */
final class CollectorSink implements SpanSink {
    private static final int MAX_RESPONSE_BYTES = 64 * 1024;
    private static final int MAX_RETRY_AFTER_SECONDS = 3_600;

    private final CollectorOptions options;

    CollectorSink(CollectorOptions options) {
        this.options = options;
    }

    @Override
    public SendResult send(List<SpanData> spans) {
        Marshaler body = TraceRequestMarshaler.create(spans);
        HttpURLConnection connection = null;
        try {
            URL url = new URL(
                    "http",
                    options.address().getAddress().getHostAddress(),
                    options.address().getPort(),
                    options.path());
            connection = (HttpURLConnection) url.openConnection(Proxy.NO_PROXY);
            int timeoutMillis = (int) TimeUnit.MICROSECONDS.toMillis(options.timeoutMicros());
            connection.setConnectTimeout(timeoutMillis);
            connection.setReadTimeout(timeoutMillis);
            connection.setInstanceFollowRedirects(false);
            connection.setDoOutput(true);
            connection.setRequestMethod("POST");
            connection.setRequestProperty("Content-Type", "application/x-protobuf");
            connection.setFixedLengthStreamingMode(body.getBinarySerializedSize());
            try (OutputStream out = connection.getOutputStream()) {
                body.writeBinaryTo(out);
            }
            int code = connection.getResponseCode();
            boolean drained = drain(connection, code);
            if (!drained) {
                connection.disconnect();
            }
            return switch (code) {
                case 200, 202 -> SendResult.ACCEPTED;
                case 429, 502, 503, 504 -> new SendResult(
                        DeliverySchedule.BatchResult.RETRYABLE,
                        retryAfterSeconds(connection.getHeaderField("Retry-After")) * 1_000_000L,
                        "it answers " + code);
                default -> new SendResult(DeliverySchedule.BatchResult.REJECTED, 0, "it answers " + code);
            };
        } catch (IOException | RuntimeException exception) {
            if (connection != null) {
                connection.disconnect();
            }
            return new SendResult(DeliverySchedule.BatchResult.RETRYABLE, 0, exception.toString());
        }
    }

    /** Reads the response to its end so that the connection can be reused; false if it exceeds its size or time bound. */
    private boolean drain(HttpURLConnection connection, int code) throws IOException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(options.timeoutMicros());
        try (InputStream in = code < 400 ? connection.getInputStream() : connection.getErrorStream()) {
            byte[] some = new byte[4096];
            int read = 0;
            for (int n; in != null && (n = in.read(some)) >= 0; ) {
                read += n;
                if (read > MAX_RESPONSE_BYTES || System.nanoTime() > deadlineNanos) {
                    return false;
                }
            }
        }
        return true;
    }

    private static int retryAfterSeconds(String retryAfter) {
        return retryAfter != null && retryAfter.matches("[0-9]{1,4}")
                ? Math.min(MAX_RETRY_AFTER_SECONDS, Integer.parseInt(retryAfter))
                : 0;
    }

    @Override
    public void close() {
        // HttpURLConnection closes idle connections itself.
    }
}
