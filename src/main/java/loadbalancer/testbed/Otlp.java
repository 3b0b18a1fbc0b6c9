package loadbalancer.testbed;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import loadbalancer.testbed.TraceCollector.Seen;

/** Reads spans from OTLP's binary form, by the field numbers of the published trace.proto, and nothing else of it. */
final class Otlp {
    /** One field of a message: its number, and its bytes or its number's value. */
    private record Field(int number, long value, byte[] bytes) {
        String text() {
            return new String(bytes, StandardCharsets.UTF_8);
        }

        String hex() {
            return HexFormat.of().formatHex(bytes);
        }
    }

    private Otlp() {}

    /** An export request: resource_spans (1) of scope_spans (2) of spans (2). */
    static void read(byte[] request, Consumer<Seen> to) throws IOException {
        for (Field resource : fields(request, 1)) {
            for (Field scope : fields(resource.bytes, 2)) {
                for (Field span : fields(scope.bytes, 2)) {
                    to.accept(span(span.bytes));
                }
            }
        }
    }

    private static List<Field> fields(byte[] message, int only) throws IOException {
        List<Field> fields = new ArrayList<>();
        CodedInputStream in = CodedInputStream.newInstance(message);
        for (int tag; (tag = in.readTag()) != 0; ) {
            int number = WireFormat.getTagFieldNumber(tag);
            Field f =
                    switch (WireFormat.getTagWireType(tag)) {
                        case WireFormat.WIRETYPE_LENGTH_DELIMITED -> new Field(number, 0, in.readByteArray());
                        case WireFormat.WIRETYPE_FIXED64 -> new Field(number, in.readFixed64(), null);
                        case WireFormat.WIRETYPE_FIXED32 -> new Field(number, in.readFixed32(), null);
                        default -> new Field(number, in.readInt64(), null);
                    };
            if (only == 0 || number == only) {
                fields.add(f);
            }
        }
        return fields;
    }

    private static Seen span(byte[] message) throws IOException {
        String trace = "";
        String id = "";
        String parent = "";
        String name = "";
        String state = "";
        long kind = 0;
        long flags = 0;
        long start = 0;
        long end = 0;
        Map<String, String> attributes = new LinkedHashMap<>();
        Map<String, Long> events = new LinkedHashMap<>();
        List<String> links = new ArrayList<>();
        for (Field f : fields(message, 0)) {
            switch (f.number) {
                case 1 -> trace = f.hex();
                case 2 -> id = f.hex();
                case 3 -> state = f.text();
                case 4 -> parent = f.hex();
                case 5 -> name = f.text();
                case 6 -> kind = f.value;
                case 7 -> start = f.value;
                case 8 -> end = f.value;
                case 9 -> attribute(f.bytes, attributes);
                case 11 -> event(f.bytes, events);
                case 13 -> links.add(fields(f.bytes, 1).get(0).hex() + " "
                        + fields(f.bytes, 2).get(0).hex());
                case 16 -> flags = f.value;
                default -> {}
            }
        }
        return new Seen(trace, id, parent, name, (int) kind, state, (int) flags, start, end, attributes, events, links);
    }

    private static void attribute(byte[] message, Map<String, String> to) throws IOException {
        String key = "";
        String value = "";
        for (Field f : fields(message, 0)) {
            if (f.number == 1) {
                key = f.text();
            } else if (f.number == 2) {
                value = value(f.bytes);
            }
        }
        to.put(key, value);
    }

    /** AnyValue: string (1), bool (2), int (3), double (4), array (5) of values. */
    private static String value(byte[] any) throws IOException {
        for (Field f : fields(any, 0)) {
            switch (f.number) {
                case 1 -> {
                    return f.text();
                }
                case 2 -> {
                    return f.value != 0 ? "true" : "false";
                }
                case 3 -> {
                    return Long.toString(f.value);
                }
                case 4 -> {
                    return Double.toString(Double.longBitsToDouble(f.value));
                }
                case 5 -> {
                    List<String> all = new ArrayList<>();
                    for (Field v : fields(f.bytes, 1)) {
                        all.add(value(v.bytes));
                    }
                    return String.join(",", all);
                }
                default -> {}
            }
        }
        return "";
    }

    private static void event(byte[] message, Map<String, Long> to) throws IOException {
        long at = 0;
        String name = "";
        for (Field f : fields(message, 0)) {
            if (f.number == 1) {
                at = f.value;
            } else if (f.number == 2) {
                name = f.text();
            }
        }
        to.put(name, at);
    }
}
