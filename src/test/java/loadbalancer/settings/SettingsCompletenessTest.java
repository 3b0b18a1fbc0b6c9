package loadbalancer.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import loadbalancer.json.JsonObject;
import org.junit.jupiter.api.Test;

class SettingsCompletenessTest {
    private static final String FILE =
            """
            {"name":"n","settings":{"me":0,"profiles":[{"name":"a","group":"all","aim_stretch":1},{"name":"b","group":"zone","window_us":3}],
             "accounts":[{"name":"t","share":1}],"azs":["x","y"],"limits":{"max_attempts":4},"extra":{"warm_keys":false}}}""";

    private static Map<String, String> flat(String json) {
        return JsonObject.parse(json.getBytes(StandardCharsets.UTF_8)).flattened();
    }

    private static String firstMissingKeyAfterReplacing(String target, String replacement) {
        return SettingsCompleteness.firstMissingKey(flat(FILE), flat(FILE.replace(target, replacement)));
    }

    @Test
    void findsTheKeyThatTheNewConfigurationLacks() {
        assertEquals("name", firstMissingKeyAfterReplacing("\"name\":\"n\",", ""));
        assertEquals("settings.me", firstMissingKeyAfterReplacing("\"me\":0,", ""));
        assertEquals("settings.limits.max_attempts", firstMissingKeyAfterReplacing("\"max_attempts\":4", ""));
        assertEquals("settings.profiles[].group", firstMissingKeyAfterReplacing("\"group\":\"zone\",", ""));
        assertEquals("settings.accounts[].share", firstMissingKeyAfterReplacing(",\"share\":1", ""));
        assertEquals("settings.azs", firstMissingKeyAfterReplacing("\"azs\":[\"x\",\"y\"],", ""));
    }

    /** Request classes and tenants may be added or removed, and keys that only some of them had may be missing. */
    @Test
    void ignoresOptionalKeysAndChangesOfClassesAndTenants() {
        assertNull(firstMissingKeyAfterReplacing("zzz", "z"));
        assertNull(firstMissingKeyAfterReplacing(",{\"name\":\"b\",\"group\":\"zone\",\"window_us\":3}", ""));
        assertNull(
                firstMissingKeyAfterReplacing("{\"name\":\"b\"", "{\"name\":\"c\",\"group\":\"all\"},{\"name\":\"b\""));
        assertNull(firstMissingKeyAfterReplacing(",\"aim_stretch\":1", ""));
        assertNull(firstMissingKeyAfterReplacing(",\"extra\":{\"warm_keys\":false}", ""));
        assertNull(firstMissingKeyAfterReplacing("{\"name\":\"t\",\"share\":1}", ""));
        assertNull(firstMissingKeyAfterReplacing(",\"window_us\":3", ""));
    }

    @Test
    void readerRejectsNonPositiveNonFiniteAndDuplicateValues() {
        String valid =
                """
                {"me":0,"balancers":1,"zone":"z","profiles":[{"name":"a","semantics":"safe","objective_us":1,"give_up_us":2}],
                 "rules":{"drain_grace_us":1,"cold_share":0.1,"ramp_time_us":1,"fall_multiple":3,"fall_us":1},"limits":{"max_attempts":1}}""";
        new SettingsReader(flat(valid)).read();
        for (String[] replacement : new String[][] {
            {"\"give_up_us\":2", "\"give_up_us\":0"},
            {"\"give_up_us\":2", "\"give_up_us\":-5"},
            {"\"max_attempts\":1", "\"max_attempts\":0"},
            {"\"objective_us\":1", "\"objective_us\":-1"},
            {"\"give_up_us\":2", "\"give_up_us\":\"NaN\""},
            {
                "\"give_up_us\":2}",
                "\"give_up_us\":2},{\"name\":\"a\",\"semantics\":\"safe\",\"objective_us\":1,\"give_up_us\":2}"
            },
            {"\"fall_multiple\":3", "\"fall_multiple\":\"Infinity\""}
        }) {
            assertThrows(
                    SettingsException.class,
                    () -> new SettingsReader(flat(valid.replace(replacement[0], replacement[1]))).read(),
                    replacement[1]);
        }
    }
}
