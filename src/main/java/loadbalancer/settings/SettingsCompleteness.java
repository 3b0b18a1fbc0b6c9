package loadbalancer.settings;

import java.util.Map;
import java.util.TreeMap;

/**
 * Checks that a configuration that replaces another one at run time has all keys of the previous one. Most keys
 * have a default, which is correct for a file that never contained them. A file that has lost a key is broken,
 * however, and must not be applied in part.
 */
public final class SettingsCompleteness {
    private SettingsCompleteness() {}

    /**
     * Returns the first key of {@code previous} that {@code current} lacks, or null. Both are flattened. A key that
     * all objects of a list had must be in all objects of the new list, whose length may differ. Optional keys of the
     * protocol may be missing.
     */
    public static String firstMissingKey(Map<String, String> previous, Map<String, String> current) {
        Map<String, Integer> required = countKeys(previous);
        Map<String, Integer> present = countKeys(current);
        // An empty list is flattened as an empty value.
        current.forEach((key, value) -> present.putIfAbsent(value.isEmpty() ? key + ".count" : key, 1));
        for (Map.Entry<String, Integer> entry : required.entrySet()) {
            String key = entry.getKey();
            boolean inAll = entry.getValue() == listSize(previous, key);
            if (inAll && !isOptional(key) && present.getOrDefault(key, 0) < listSize(current, key)) {
                return key;
            }
        }
        return null;
    }

    private static boolean isOptional(String key) {
        return key.endsWith(".aim_stretch") || key.contains("settings.extra.");
    }

    /** Number of occurrences of each key, with {@code []} in place of the index in a list. */
    private static Map<String, Integer> countKeys(Map<String, String> flat) {
        Map<String, Integer> counts = new TreeMap<>();
        flat.keySet().forEach(key -> counts.merge(key.replaceAll("\\.[0-9]+(?=\\.|$)", "[]"), 1, Integer::sum));
        return counts;
    }

    /** Number of objects in the list that contains the key; 1 if the key is not in a list. */
    private static int listSize(Map<String, String> flat, String key) {
        int index = key.indexOf("[]");
        String count = index < 0 ? "1" : flat.getOrDefault(key.substring(0, index) + ".count", "0");
        return Integer.parseInt(count);
    }
}
