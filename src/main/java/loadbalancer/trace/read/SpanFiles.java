package loadbalancer.trace.read;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import loadbalancer.json.JsonObject;

/** Reads files of OTLP JSON, one export a line, written by sidecars or other services. */
public final class SpanFiles {
    private SpanFiles() {}

    /** An unusable span file; the message is one line with file and line number. */
    public static final class SpanFileException extends Exception {
        private static final long serialVersionUID = 1L;

        SpanFileException(String message) {
            super(message.replaceAll("\\s+", " "));
        }
    }

    /**
     * Passes each span of the file to a consumer. A malformed last line without a newline is still being written and is skipped.
     *
     * @throws SpanFileException if the file can't be read or has another malformed line
     */
    public static void read(Path file, Consumer<RecordedSpan> consumer) throws SpanFileException {
        int lineNumber = 0;
        try (BufferedReader in = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
            String next = in.readLine();
            while (next != null) {
                String line = next;
                lineNumber++;
                next = in.readLine();
                try {
                    readLine(JsonObject.parse(line.getBytes(StandardCharsets.UTF_8)), consumer);
                } catch (IllegalArgumentException e) {
                    if (next != null || endsWithNewline(file)) {
                        throw new SpanFileException(file + ":" + lineNumber + ": no line of OTLP: " + e.getMessage());
                    }
                }
            }
        } catch (IOException exception) {
            throw new SpanFileException(file + ": can't be read: " + exception);
        }
    }

    private static boolean endsWithNewline(Path file) throws IOException {
        try (var channel = Files.newByteChannel(file)) {
            var last = java.nio.ByteBuffer.allocate(1);
            channel.position(Math.max(0, channel.size() - 1));
            return channel.read(last) < 1 || last.get(0) == '\n';
        }
    }

    private static void readLine(JsonObject line, Consumer<RecordedSpan> consumer) {
        for (JsonObject resource : line.objects("resourceSpans")) {
            String service =
                    resource.has("resource") && resource.object("resource").has("attributes")
                            ? attributes(resource.object("resource")).getOrDefault("service.name", "")
                            : "";
            for (JsonObject scope : resource.objects("scopeSpans")) {
                for (JsonObject span : scope.objects("spans")) {
                    consumer.accept(span(service, span));
                }
            }
        }
    }

    private static RecordedSpan span(String service, JsonObject span) {
        Map<String, Long> events = new LinkedHashMap<>();
        if (span.has("events")) {
            for (JsonObject e : span.objects("events")) {
                events.put(e.string("name"), nanos(e.string("timeUnixNano")));
            }
        }
        List<String> links = span.has("links")
                ? span.objects("links").stream().map(l -> l.string("traceId")).toList()
                : List.of();
        String kind =
                switch ((int) span.integerOr("kind", 0)) {
                    case 2 -> "server";
                    case 3 -> "client";
                    default -> "";
                };
        return new RecordedSpan(
                service,
                span.string("traceId"),
                span.string("spanId"),
                span.stringOr("parentSpanId", ""),
                span.string("name"),
                kind,
                nanos(span.string("startTimeUnixNano")),
                nanos(span.string("endTimeUnixNano")),
                attributes(span),
                events,
                links);
    }

    private static long nanos(String text) {
        if (!text.matches("[0-9]{1,18}|[0-9]{19}")) {
            throw new IllegalArgumentException("'" + text + "' is no time");
        }
        return Long.parseLong(text);
    }

    private static Map<String, String> attributes(JsonObject owner) {
        Map<String, String> attributes = new LinkedHashMap<>();
        if (owner.has("attributes")) {
            for (JsonObject a : owner.objects("attributes")) {
                attributes.put(a.string("key"), value(a.object("value")));
            }
        }
        return attributes;
    }

    private static String value(JsonObject value) {
        if (value.has("arrayValue")) {
            return value.object("arrayValue").objects("values").stream()
                    .map(SpanFiles::value)
                    .collect(Collectors.joining(","));
        }
        return value.flattened().values().stream().findFirst().orElse("");
    }
}
