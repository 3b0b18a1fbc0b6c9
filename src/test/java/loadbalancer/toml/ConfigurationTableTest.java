package loadbalancer.toml;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

/**
 * Tests values, bounds and overrides of one table. Most line numbers of errors are tested in the operator's file test.
 */
class ConfigurationTableTest {
    private static ConfigurationTable table(String text) throws ConfigurationException {
        return ConfigurationTable.parse("file", text, Map.of());
    }

    private static void assertInvalid(String message, Executable read) {
        assertEquals(message, assertThrows(ConfigurationException.class, read).getMessage());
    }

    @Test
    void readsValuesOfEachType() throws Exception {
        ConfigurationTable table =
                table("duration = \"2min\"\nsize = \"3KiB\"\ninteger = 4\ndecimal = 0.5\nflag = true\n"
                        + "string = \"x\"\nstrings = [\"a\", \"b\"]\nintegers = [1, 2]\naddress = \"[::1]:80\"\n");

        assertEquals(120_000_000, table.durationMicros("duration", "0s", "0s", "1h"));
        assertEquals(3_072, table.sizeBytes("size", "0B", "0B", "1MiB"));
        assertEquals(4, table.integer("integer", 0, 0, 9));
        assertEquals(0.5, table.decimal("decimal", 0, 0, 1));
        assertTrue(table.flag("flag", false));
        assertEquals("x", table.string("string", null));
        assertEquals(List.of("a", "b"), table.strings("strings"));
        assertEquals(List.of(1, 2), table.integers("integers", 0, 9));
        assertEquals(80, table.address("address").getPort());
        table.rejectUnknownKeys();
    }

    @Test
    void returnsDefaultsForMissingKeys() throws Exception {
        ConfigurationTable table = table("");

        assertEquals(1_000, table.durationMicros("key", "1ms", "0s", "1h"));
        assertEquals(-1, table.durationMicros("key", "none", "0s", "1h", "none"));
        assertEquals(5, table.integer("key", 5, 0, 9));
        assertFalse(table.has("key"));
        assertNull(table.table("key"));
        assertEquals(List.of(), table.strings("key"));
    }

    @Test
    void rejectsValuesOutOfBoundsOrOfAnotherType() throws Exception {
        ConfigurationTable table = table("number = 10\ntext = \"2h\"\n");

        assertInvalid(
                "file:1: number: expected a whole number from 0 to 9, found 10",
                () -> table.integer("number", 0, 0, 9));
        assertInvalid("file:1: number: expected true or false, found 10", () -> table.flag("number", false));
        assertInvalid(
                "file:2: text: expected a duration from \"0s\" to \"1h\" with its unit (ms, s, min, h, d), found \"2h\"",
                () -> table.durationMicros("text", "0s", "0s", "1h"));
        assertInvalid(
                "file:1: number: expected a duration from \"0s\" to \"1h\" with its unit (ms, s, min, h, d), or \"none\", found 10",
                () -> table.durationMicros("number", "0s", "0s", "1h", "none"));
        assertInvalid(
                "file:2: text: expected a size from \"0B\" to \"1KiB\" with its unit (B, KiB, MiB), found \"2h\"",
                () -> table.sizeBytes("text", "0B", "0B", "1KiB"));
        assertInvalid("file:2: text: unknown; expected one of number", () -> {
            ConfigurationTable other = table("number = 10\ntext = \"2h\"\n");
            other.has("number");
            other.rejectUnknownKeys();
        });
    }

    @Test
    void overridesReplaceValuesOfTheFile() throws Exception {
        ConfigurationTable table =
                ConfigurationTable.parse("file", "[a]\nx = 1\n", Map.of("a.x", 2L, "b.y", 3L, "c.z", 4L));

        assertEquals(2, table.table("a").integer("x", 0, 0, 9));
        assertEquals(3, table.table("b").integer("y", 0, 0, 9));
        assertEquals(List.of("c.z"), table.unusedOverrides());
    }
}
