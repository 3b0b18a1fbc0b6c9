package loadbalancer.json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

/** Tests parsing, reading of fields with errors that name them, flattening and writing. */
class JsonObjectTest {
    private static JsonObject parse(String text) {
        return JsonObject.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void readsFieldsOfEachType() {
        JsonObject json = parse(
                "{\"t\":\"ü\",\"n\":7,\"r\":1.5,\"f\":true,\"o\":{\"x\":1},\"l\":[{\"y\":2},{\"y\":3}],\"s\":[\"a\",4],\"z\":null}");
        assertEquals("ü", json.string("t"));
        assertEquals(7, json.integer("n"));
        assertEquals(1.5, json.decimalOr("r", 0));
        assertTrue(json.flag("f"));
        assertEquals(1, json.object("o").integer("x"));
        assertEquals(
                List.of(2L, 3L),
                json.objects("l").stream().map(element -> element.integer("y")).toList());
        assertEquals(List.of("a", "4"), json.stringsOrEmpty("s"));
        assertEquals(List.of(), json.stringsOrEmpty("none"));
        assertFalse(json.has("z"));
        assertEquals("d", json.stringOr("z", "d"));
        assertEquals(9, json.integerOr("none", 9));
    }

    @Test
    void reportsAFieldThatIsMissingOrOfTheWrongType() {
        JsonObject json = parse("{\"n\":7,\"l\":[1],\"t\":\"x\"}");
        Map<String, Executable> callsByError = Map.of(
                "'n' is not a string", () -> json.string("n"),
                "'t' is not a number", () -> json.integer("t"),
                "'t' is not true or false", () -> json.flag("t"),
                "'n' is not an object", () -> json.object("n"),
                "'l' has an element that is not an object", () -> json.objects("l"),
                "'none' is missing", () -> json.string("none"));
        callsByError.forEach((message, call) ->
                assertEquals(message, assertThrows(JsonException.class, call).getMessage()));
    }

    @Test
    void rejectsInvalidInputWithAOneLineError() {
        for (String text : new String[] {
            "",
            "[]",
            "7",
            "\"x\"",
            "null",
            "{",
            "{\"a\":",
            "{\"a\":1",
            "{\"a\":1}x",
            "{\"a\":1}{}",
            "{\"a\":[1,}",
            "{a:1}",
            "\u0001",
            "{\"a\":01}"
        }) {
            JsonException exception = assertThrows(JsonException.class, () -> parse(text), text);
            assertTrue(exception.getMessage().startsWith("not a JSON object"), text + ": " + exception.getMessage());
            assertEquals(1, exception.getMessage().lines().count(), text);
        }
    }

    @Test
    void limitsNesting() {
        assertThrows(JsonException.class, () -> parse("{\"a\":" + "[".repeat(100_000) + "]".repeat(100_000) + "}"));
    }

    @Test
    void flattensValuesToPaths() {
        assertEquals(
                Map.of("a.b", "1", "l", "x,2", "o.count", "2", "o.0.c", "true", "o.1.c", "false"),
                parse("{\"a\":{\"b\":1},\"l\":[\"x\",2],\"o\":[{\"c\":true},{\"c\":false}],\"n\":null}")
                        .flattened());
    }

    @Test
    void readsWhatItWrites() {
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("text", "a \"quoted\" \\ line\nand ü");
        object.put("whole", 1L << 53);
        object.put("real", 0.25);
        object.put("flag", false);
        object.put("none", null);
        object.put("list", List.of(Map.of("x", 1), Map.of("x", 2)));
        JsonObject json = JsonObject.parse(JsonObject.write(object));
        assertEquals(object.get("text"), json.string("text"));
        assertEquals(1L << 53, json.integer("whole"));
        assertEquals(0.25, json.decimalOr("real", 0));
        assertFalse(json.flag("flag"));
        assertFalse(json.has("none"));
        assertEquals(2, json.objects("list").get(1).integer("x"));
    }

    @Test
    void throwsOnlyJsonExceptionsForDamagedBytes() {
        SplittableRandom random = new SplittableRandom(5);
        byte[] intact = "{\"a\":[{\"b\":1.5e3,\"c\":\"x\\u00fc\"},null,true]}".getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = Arrays.copyOf(intact, random.nextInt(intact.length + 1));
            for (int k = 0; k < random.nextInt(4) && bytes.length > 0; k++) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
            }
            try {
                JsonObject.parse(bytes).flattened();
            } catch (JsonException exception) {
                assertTrue(exception.getMessage().startsWith("not a JSON object"), exception.getMessage());
            }
        }
    }
}
