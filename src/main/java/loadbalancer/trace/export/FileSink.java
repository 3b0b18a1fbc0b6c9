package loadbalancer.trace.export;

import io.opentelemetry.exporter.internal.otlp.traces.TraceRequestMarshaler;
import io.opentelemetry.sdk.trace.data.SpanData;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import loadbalancer.operator.OperatorConfiguration.TraceFileOptions;

/**
 * Writes spans as lines of OTLP JSON, the format of the OpenTelemetry collector's file exporter, to rotated files: NAME.jsonl
 * is the current one, NAME.1.jsonl the one before it, and so on. A partly written batch is truncated away.
 */
final class FileSink implements SpanSink {
    private final TraceFileOptions options;
    private final String name;
    private FileChannel file;

    FileSink(TraceFileOptions options, String instance) {
        this.options = options;
        name = "traces-" + instance.replaceAll("[^A-Za-z0-9_.-]", "_");
    }

    private Path path(int age) {
        return options.folder().resolve(age == 0 ? name + ".jsonl" : name + "." + age + ".jsonl");
    }

    @Override
    public SendResult send(List<SpanData> spans) {
        try {
            ByteArrayOutputStream line = new ByteArrayOutputStream(16 * 1024);
            TraceRequestMarshaler.create(spans).writeJsonTo(line);
            line.write('\n');
            write(ByteBuffer.wrap(line.toByteArray()));
            return SendResult.ACCEPTED;
        } catch (IOException exception) {
            close();
            return new SendResult(DeliverySchedule.BatchResult.RETRYABLE, 0, exception.toString());
        }
    }

    private void write(ByteBuffer line) throws IOException {
        if (file == null) {
            Files.createDirectories(options.folder());
            file = FileChannel.open(path(0), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        }
        long size = file.size();
        if (size > 0 && size + line.remaining() > options.maxFileBytes()) {
            rotate();
            size = 0;
        }
        try {
            long position = size;
            while (line.hasRemaining()) {
                position += file.write(line, position);
            }
        } catch (IOException exception) {
            file.truncate(size);
            throw exception;
        }
    }

    private void rotate() throws IOException {
        close();
        for (int age = options.maxFiles() - 1; age > 0; age--) {
            if (Files.exists(path(age - 1))) {
                Files.move(path(age - 1), path(age), StandardCopyOption.REPLACE_EXISTING);
            }
        }
        file = FileChannel.open(
                path(0), StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING);
    }

    @Override
    public void close() {
        if (file != null) {
            try {
                file.close();
            } catch (IOException exception) {
                // All complete lines are written; a failure to close loses nothing.
            }
            file = null;
        }
    }
}
