package loadbalancer.toml;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * One table of a TOML file, read key by key. The table records which keys were read, so that {@link #rejectUnknownKeys}
 * can find the others. Each error names file, line and key, and says what was expected and what was found.
 */
public final class ConfigurationTable {
    /** Numeric address with a port; host names are not accepted, so there are no DNS lookups. */
    private static final Pattern ADDRESS =
            Pattern.compile("([0-9]{1,3}(?:\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]{2,39}\\]):([0-9]{1,5})");

    private static final int MAX_PORT = 65_535;
    private static final String ADDRESS_EXPECTED = "an address such as \"127.0.0.1:8443\"";

    private final String file;
    /** Qualified name of this table; empty for the root. */
    private final String path;

    private final TomlTable table;
    private final int line;
    private final Set<String> knownKeys = new HashSet<>();
    /** Values that replace those of the file, by qualified name; shared by all tables of the file. */
    private final Map<String, Object> overrides;
    /** Qualified names of the overrides that were read; shared by all tables of the file. */
    private final Set<String> usedOverrides;

    private ConfigurationTable(
            String file,
            String path,
            TomlTable table,
            int line,
            Map<String, Object> overrides,
            Set<String> usedOverrides) {
        this.file = file;
        this.path = path;
        this.table = table;
        this.line = line;
        this.overrides = overrides;
        this.usedOverrides = usedOverrides;
    }

    /**
     * Reads the root table of the file {@code name}.
     *
     * @throws ConfigurationException if the file can't be read or is not TOML
     */
    public static ConfigurationTable read(String name) throws ConfigurationException {
        try {
            return parse(name, Files.readString(Path.of(name)), Map.of());
        } catch (IOException | InvalidPathException exception) {
            throw new ConfigurationException(name + ": can't be read: " + exception);
        }
    }

    /**
     * Parses {@code text} as TOML and returns the root table.
     *
     * @param name      name of the file, for error messages
     * @param overrides values of TOML types (string, long, double, boolean) that replace those of the file, by
     *                  qualified key
     * @throws ConfigurationException if {@code text} is not TOML
     */
    public static ConfigurationTable parse(String name, String text, Map<String, Object> overrides)
            throws ConfigurationException {
        TomlParseResult toml = Toml.parse(text);
        if (toml.hasErrors()) {
            TomlParseError first = toml.errors().get(0);
            throw new ConfigurationException(name + ":" + first.position().line() + ": no TOML: " + first.getMessage());
        }
        return new ConfigurationTable(name, "", toml, 1, overrides, new HashSet<>());
    }

    /** Returns the table {@code key}; null if neither the file nor an override has a value in it. */
    public ConfigurationTable table(String key) throws ConfigurationException {
        Object value = value(key);
        if (value == null) {
            String prefix = qualifiedName(key) + ".";
            boolean overridden = overrides.keySet().stream().anyMatch(name -> name.startsWith(prefix));
            return overridden ? child(key, Toml.parse(""), line, overrides) : null;
        }
        if (!(value instanceof TomlTable found)) {
            throw invalid(key, "a table, [" + qualifiedName(key) + "]", value);
        }
        return child(key, found, line(key), overrides);
    }

    private ConfigurationTable child(String key, TomlTable found, int atLine, Map<String, Object> childOverrides) {
        return new ConfigurationTable(file, qualifiedName(key), found, atLine, childOverrides, usedOverrides);
    }

    /** Returns a duration in microseconds, within bounds. */
    public long durationMicros(String key, String defaultValue, String minimum, String maximum)
            throws ConfigurationException {
        return durationMicros(key, defaultValue, minimum, maximum, null);
    }

    /**
     * Returns a duration in microseconds, within bounds.
     *
     * @param noneKeyword value for which the result is -1; null if there is no such value
     */
    public long durationMicros(String key, String defaultValue, String minimum, String maximum, String noneKeyword)
            throws ConfigurationException {
        Object value = value(key);
        String text = textOf(value, defaultValue);
        if (text.equals(noneKeyword)) {
            return -1;
        }
        OptionalLong micros = UnitFormat.DURATION_MICROS.parseWithin(text, minimum, maximum);
        if (micros.isEmpty()) {
            String expected = "a duration from \"" + minimum + "\" to \"" + maximum
                    + "\" with its unit (ms, s, min, h, d)"
                    + (noneKeyword == null ? "" : ", or \"" + noneKeyword + "\"");
            throw invalid(key, expected, value);
        }
        return micros.getAsLong();
    }

    /** Returns a size in bytes, within bounds. */
    public long sizeBytes(String key, String defaultValue, String minimum, String maximum)
            throws ConfigurationException {
        Object value = value(key);
        OptionalLong bytes = UnitFormat.SIZE_BYTES.parseWithin(textOf(value, defaultValue), minimum, maximum);
        if (bytes.isEmpty()) {
            throw invalid(
                    key, "a size from \"" + minimum + "\" to \"" + maximum + "\" with its unit (B, KiB, MiB)", value);
        }
        return bytes.getAsLong();
    }

    /**
     * Returns the value if it is a string, the default if there is no value, and an empty string for a value of another
     * type.
     */
    private static String textOf(Object value, String defaultValue) {
        if (value == null) {
            return defaultValue;
        }
        return value instanceof String text ? text : "";
    }

    /** Returns an integer within bounds. */
    public int integer(String key, int defaultValue, int minimum, int maximum) throws ConfigurationException {
        Object value = value(key);
        long number = value == null ? defaultValue : value instanceof Long found ? found : Long.MIN_VALUE;
        if (number < minimum || number > maximum) {
            throw invalid(key, "a whole number from " + minimum + " to " + maximum, value);
        }
        return (int) number;
    }

    /** Returns an integer or floating-point number within bounds. */
    public double decimal(String key, double defaultValue, double minimum, double maximum)
            throws ConfigurationException {
        Object value = value(key);
        double number = value == null ? defaultValue : value instanceof Number found ? found.doubleValue() : Double.NaN;
        if (!(number >= minimum && number <= maximum)) {
            throw invalid(key, "a number from " + minimum + " to " + maximum, value);
        }
        return number;
    }

    /** Returns whether the file or an override has a value for {@code key}. */
    public boolean has(String key) {
        return value(key) != null;
    }

    /** Returns a boolean. */
    public boolean flag(String key, boolean defaultValue) throws ConfigurationException {
        Object value = value(key);
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof Boolean found)) {
            throw invalid(key, "true or false", value);
        }
        return found;
    }

    /** Returns a numeric address with its port; there is no default. */
    public InetSocketAddress address(String key) throws ConfigurationException {
        Object value = value(key);
        Matcher matcher = ADDRESS.matcher(textOf(value, ""));
        if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAX_PORT) {
            throw invalid(key, ADDRESS_EXPECTED, value);
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(matcher.group(1)), Integer.parseInt(matcher.group(2)));
        } catch (UnknownHostException exception) {
            throw invalid(key, ADDRESS_EXPECTED, value);
        }
    }

    /**
     * Returns the tables of the array {@code [[key]]}; empty if there is no such array. Overrides do not apply to them.
     */
    public List<ConfigurationTable> tables(String key) throws ConfigurationException {
        Object value = value(key);
        List<ConfigurationTable> tables = new ArrayList<>();
        if (value instanceof TomlArray array) {
            for (int i = 0; i < array.size(); i++) {
                if (array.get(i) instanceof TomlTable found) {
                    tables.add(child(key, found, array.inputPositionOf(i).line(), Map.of()));
                }
            }
        }
        rejectUnacceptedElements(key, value, tables, "a list of tables, [[" + qualifiedName(key) + "]]");
        return tables;
    }

    /** Returns a string that is not blank; the key is required if {@code defaultValue} is null. */
    public String string(String key, String defaultValue) throws ConfigurationException {
        Object value = value(key);
        String text = value == null ? defaultValue : value instanceof String found ? found : null;
        if (text == null || text.isBlank()) {
            throw invalid(key, "a text that is not empty", value);
        }
        return text;
    }

    /** Returns a list of strings, none of them blank; empty if there is no such list. */
    public List<String> strings(String key) throws ConfigurationException {
        Object value = value(key);
        List<String> texts = new ArrayList<>();
        if (value instanceof TomlArray array) {
            for (Object element : array.toList()) {
                if (element instanceof String text && !text.isBlank()) {
                    texts.add(text);
                }
            }
        }
        rejectUnacceptedElements(key, value, texts, "a list of texts");
        return texts;
    }

    /** Returns a list of integers within bounds; empty if there is no such list. */
    public List<Integer> integers(String key, int minimum, int maximum) throws ConfigurationException {
        Object value = value(key);
        List<Integer> numbers = new ArrayList<>();
        if (value instanceof TomlArray array) {
            for (Object element : array.toList()) {
                if (element instanceof Long number && number >= minimum && number <= maximum) {
                    numbers.add(number.intValue());
                }
            }
        }
        rejectUnacceptedElements(key, value, numbers, "a list of whole numbers from " + minimum + " to " + maximum);
        return numbers;
    }

    /** Rejects a value that is not an array, or an array with elements that were not accepted. */
    private void rejectUnacceptedElements(String key, Object value, List<?> accepted, String expected)
            throws ConfigurationException {
        if (value != null && !(value instanceof TomlArray array && accepted.size() == array.size())) {
            throw invalid(key, expected, value);
        }
    }

    /** Rejects keys that were not read. Call it after all known keys of the table have been read. */
    public void rejectUnknownKeys() throws ConfigurationException {
        for (String key : table.keySet()) {
            if (!knownKeys.contains(key)) {
                throw new ConfigurationException(file + ":" + line(key) + ": " + qualifiedName(key)
                        + ": unknown; expected one of "
                        + String.join(", ", knownKeys.stream().sorted().toList()));
            }
        }
    }

    /**
     * Returns the sorted qualified names of the overrides that were not read. Call it after the whole file has been
     * read.
     */
    public List<String> unusedOverrides() {
        return overrides.keySet().stream()
                .filter(name -> !usedOverrides.contains(name))
                .sorted()
                .toList();
    }

    /** Rejects a key that was renamed to {@code newName}. */
    public void rejectRenamed(String oldName, String newName) throws ConfigurationException {
        if (table.keySet().contains(oldName)) {
            throw invalid(oldName, "its new name, " + newName, table.get(List.of(oldName)));
        }
    }

    /** Returns all values of the table, unchecked and of any TOML type, by key in alphabetical order. */
    public Map<String, Object> values() {
        Map<String, Object> values = new TreeMap<>();
        for (String key : table.keySet()) {
            values.put(key, value(key));
        }
        return values;
    }

    /** Creates the error for a value of {@code key} other than expected, for checks that this class does not have. */
    public ConfigurationException invalid(String key, String expected) {
        return invalid(key, expected, value(key));
    }

    private ConfigurationException invalid(String key, String expected, Object found) {
        return new ConfigurationException(file + ":" + line(key) + ": " + qualifiedName(key) + ": expected " + expected
                + ", found " + describe(found));
    }

    private static String describe(Object found) {
        if (found == null) {
            return "nothing";
        }
        if (found instanceof String text) {
            return "\"" + text + "\"";
        }
        return found instanceof TomlTable ? "a table" : String.valueOf(found);
    }

    private Object value(String key) {
        knownKeys.add(key);
        Object override = overrides.get(qualifiedName(key));
        if (override == null) {
            return table.get(List.of(key));
        }
        usedOverrides.add(qualifiedName(key));
        return override;
    }

    private int line(String key) {
        TomlPosition position = table.inputPositionOf(List.of(key));
        return position == null ? line : position.line();
    }

    private String qualifiedName(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }
}
