package loadbalancer.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.operator.PolicyFile.ZonePolicy;
import loadbalancer.toml.ConfigurationException;
import loadbalancer.toml.ConfigurationTable;
import org.junit.jupiter.api.Test;

/** Tests reading and combining zone policies, and reading the options of the agreement on them. */
class PolicyFileTest {
    private static ZonePolicy read(String text) throws ConfigurationException {
        return PolicyFile.read(text.getBytes(StandardCharsets.UTF_8), List.of("a", "b", "c"));
    }

    private static void assertInvalid(String text, String expectedPart) {
        String found =
                assertThrows(ConfigurationException.class, () -> read(text)).getMessage();
        assertTrue(found.contains(expectedPart), found);
    }

    @Test
    void readsZonesAndRejectsInvalidPolicies() throws ConfigurationException {
        assertEquals(
                new ZonePolicy(Set.of("b"), List.of(List.of("a"), List.of("b", "c"))),
                read(
                        "[zones]\naway = [\"b\"]\n[[zones.tier]]\nzones = [\"a\"]\n[[zones.tier]]\nzones = [\"b\", \"c\"]\n"));
        assertInvalid("", "[zones]");
        assertInvalid("[zones]\naway = [\"d\"]\n", "there is no zone 'd'; there are a, b, c");
        assertInvalid("[zones]\n[[zones.tier]]\nzones = [\"d\"]\n", "'d'");
        assertInvalid("[zones]\ndoubling = \"2s\"\n", "doubling");
        assertInvalid("[zones]\n[subset]\n", "subset");
        assertInvalid("[zones]\naway = 3\n", "away");
        assertInvalid("[zones\n", "policy");
    }

    @Test
    void combinesDrainedZonesOfBothPoliciesWithTiersOfTheFirst() throws ConfigurationException {
        ZonePolicy current = read("[zones]\naway = [\"a\"]\n[[zones.tier]]\nzones = [\"c\"]\n");
        ZonePolicy next = read("[zones]\naway = [\"b\"]\n");
        assertEquals(new ZonePolicy(Set.of("a", "b"), List.of(List.of("c"))), current.strictestWith(next));
    }

    @Test
    void readsConsensusOptionsAndRejectsInvalidOnes() throws ConfigurationException {
        OperatorConfiguration configuration = OperatorFile.read(
                ConfigurationTable.parse("f", "[zones]\n[consensus]\nfleet = \"x\"\nfile = \"p.toml\"\n", Map.of()));
        assertEquals(new ConsensusOptions("x", 5, 3_000_000, Path.of("p.toml")), configuration.consensus());
        assertTrue(OperatorSummary.describe(configuration).toString().contains("consensus: "));
        assertNull(OperatorFile.read(ConfigurationTable.parse("f", "[zones]\n", Map.of()))
                .consensus());
        for (String[] invalid : new String[][] {
            {"[consensus]\nfleet = \"x\"\nfile = \"p\"\n", "[zones]"},
            {"[zones]\n[consensus]\nfleet = \"x\"\nfile = \"p\"\nvoters = 4\n", "odd"},
            {"[zones]\n[consensus]\nfile = \"p\"\n", "fleet"},
            {"[zones]\n[consensus]\nfleet = \"x\"\nfile = \"p\"\nlease = \"10ms\"\n", "lease"}
        }) {
            String found = assertThrows(
                            ConfigurationException.class,
                            () -> OperatorFile.read(ConfigurationTable.parse("f", invalid[0], Map.of())))
                    .getMessage();
            assertTrue(found.contains(invalid[1]), found);
        }
    }
}
