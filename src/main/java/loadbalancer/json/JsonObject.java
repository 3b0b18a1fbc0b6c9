package loadbalancer.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A JSON object whose fields are read one by one. Each getter throws {@link JsonException} if the field is missing or
 * of another type; getters with a default value return it if the field is missing or null. Unknown fields are ignored.
 */
public final class JsonObject {
    /**
     * Creates Jackson's streaming parsers, which limit nesting and lengths. Jackson's object mapper would slow down
     * each start.
     */
    private static final JsonFactory JSON_FACTORY = new JsonFactory();

    private final Map<?, ?> fields;

    private JsonObject(Map<?, ?> fields) {
        this.fields = fields;
    }

    /**
     * Parses one JSON object in UTF-8.
     *
     * @throws JsonException if {@code text} is anything else, or data follows the object
     */
    public static JsonObject parse(byte[] text) {
        try (JsonParser parser = JSON_FACTORY.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new JsonException("not a JSON object");
            }
            JsonObject parsed = new JsonObject(object(parser));
            if (parser.nextToken() != null) {
                throw new JsonException("not a JSON object: data follows the object");
            }
            return parsed;
        } catch (IOException exception) {
            String reason = String.valueOf(exception.getMessage());
            int end = reason.indexOf('\n');
            throw new JsonException("not a JSON object: " + (end < 0 ? reason : reason.substring(0, end)));
        }
    }

    private static Map<String, Object> object(JsonParser parser) throws IOException {
        Map<String, Object> fields = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            fields.put(name, value(parser));
        }
        return fields;
    }

    private static Object value(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(parser);
            case START_ARRAY -> {
                List<Object> values = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    values.add(value(parser));
                }
                yield values;
            }
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case VALUE_NULL -> null;
            default -> throw new JsonException("not a JSON object: input ends too early");
        };
    }

    /**
     * Writes maps, lists, strings, numbers, booleans and nulls as JSON in UTF-8; other values as the result of
     * {@code toString()}.
     */
    public static byte[] write(Map<String, Object> object) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator generator = JSON_FACTORY.createGenerator(bytes)) {
            write(generator, object);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        return bytes.toByteArray();
    }

    private static void write(JsonGenerator generator, Object value) throws IOException {
        if (value instanceof Map<?, ?> map) {
            generator.writeStartObject();
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                generator.writeFieldName(String.valueOf(entry.getKey()));
                write(generator, entry.getValue());
            }
            generator.writeEndObject();
        } else if (value instanceof List<?> list) {
            generator.writeStartArray();
            for (Object element : list) {
                write(generator, element);
            }
            generator.writeEndArray();
        } else if (value instanceof Double number) {
            generator.writeNumber(number);
        } else if (value instanceof Number number) {
            generator.writeNumber(number.longValue());
        } else if (value instanceof Boolean flag) {
            generator.writeBoolean(flag);
        } else if (value == null) {
            generator.writeNull();
        } else {
            generator.writeString(value.toString());
        }
    }

    /** Returns whether the field is present and not null. */
    public boolean has(String name) {
        return fields.get(name) != null;
    }

    /** Returns a string field. */
    public String string(String name) {
        return required(name, String.class, "a string");
    }

    /** Returns a string field, or the default value. */
    public String stringOr(String name, String defaultValue) {
        return has(name) ? string(name) : defaultValue;
    }

    /** Returns a number field as an integer; a fraction is truncated. */
    public long integer(String name) {
        return required(name, Number.class, "a number").longValue();
    }

    /** Returns a number field as an integer, or the default value; a fraction is truncated. */
    public long integerOr(String name, long defaultValue) {
        return has(name) ? integer(name) : defaultValue;
    }

    /** Returns a number field, or the default value. */
    public double decimalOr(String name, double defaultValue) {
        return has(name) ? required(name, Number.class, "a number").doubleValue() : defaultValue;
    }

    /** Returns a boolean field. */
    public boolean flag(String name) {
        return required(name, Boolean.class, "true or false");
    }

    /** Returns an object field. */
    public JsonObject object(String name) {
        return new JsonObject(required(name, Map.class, "an object"));
    }

    /** Returns an array field whose elements are objects. */
    public List<JsonObject> objects(String name) {
        return list(name).stream().map(element -> objectIn(name, element)).toList();
    }

    /** Returns the elements of an array field, each empty if it is not an object. */
    public List<Optional<JsonObject>> elementsAsObjects(String name) {
        return list(name).stream()
                .map(element -> element instanceof Map<?, ?> map
                        ? Optional.of(new JsonObject(map))
                        : Optional.<JsonObject>empty())
                .toList();
    }

    private static JsonObject objectIn(String name, Object element) {
        if (element instanceof Map<?, ?> map) {
            return new JsonObject(map);
        }
        throw new JsonException("'" + name + "' has an element that is not an object");
    }

    /** Returns the elements of an array field as strings; empty if the field is missing or null. */
    public List<String> stringsOrEmpty(String name) {
        return has(name) ? list(name).stream().map(String::valueOf).toList() : List.of();
    }

    /** Returns an array field whose elements are numbers. */
    public double[] decimals(String name) {
        return list(name).stream()
                .mapToDouble(element -> decimalIn(name, element))
                .toArray();
    }

    private static double decimalIn(String name, Object element) {
        if (element instanceof Number number) {
            return number.doubleValue();
        }
        throw new JsonException("'" + name + "' has an element that is not a number");
    }

    /** Returns the names of all fields, in the order of the input. */
    public List<String> fieldNames() {
        return fields.keySet().stream().map(String::valueOf).toList();
    }

    private List<?> list(String name) {
        return required(name, List.class, "an array");
    }

    private <T> T required(String name, Class<T> type, String expected) {
        Object value = fields.get(name);
        if (value == null) {
            throw new JsonException("'" + name + "' is missing");
        }
        if (!type.isInstance(value)) {
            throw new JsonException("'" + name + "' is not " + expected);
        }
        return type.cast(value);
    }

    /**
     * Returns all values as strings, keyed by their paths such as {@code a.b} or {@code a.0.b}. An array with objects
     * has a {@code count} entry beside its elements, any other array is one comma-separated string, and null values are
     * left out.
     */
    public Map<String, String> flattened() {
        Map<String, String> valuesByPath = new TreeMap<>();
        flatten("", fields, valuesByPath);
        return valuesByPath;
    }

    private static void flatten(String path, Object value, Map<String, String> valuesByPath) {
        if (value instanceof Map<?, ?> map) {
            map.forEach((name, field) -> flatten(path.isEmpty() ? "" + name : path + "." + name, field, valuesByPath));
        } else if (value instanceof List<?> list) {
            flattenList(path, list, valuesByPath);
        } else if (value != null) {
            valuesByPath.put(path, value.toString());
        }
    }

    private static void flattenList(String path, List<?> list, Map<String, String> valuesByPath) {
        if (list.stream().noneMatch(Map.class::isInstance)) {
            valuesByPath.put(
                    path, String.join(",", list.stream().map(String::valueOf).toList()));
            return;
        }
        valuesByPath.put(path + ".count", "" + list.size());
        for (int i = 0; i < list.size(); i++) {
            flatten(path + "." + i, list.get(i), valuesByPath);
        }
    }
}
