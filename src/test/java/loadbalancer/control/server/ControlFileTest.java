package loadbalancer.control.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import loadbalancer.toml.ConfigurationException;
import loadbalancer.toml.ConfigurationTable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ControlFileTest {
    private static final String VALID =
            """
            [control]
            fleet = "f"
            replicas = ["127.0.0.1:7301", "127.0.0.1:7302", "127.0.0.1:7303"]
            voters = 3
            me = 2
            admin = "127.0.0.1:7401"
            scopes = ["booking", "recall"]
            folder = "scopes"
            """;

    private static ControlFile read(String text) throws ConfigurationException {
        return ControlFile.read(ConfigurationTable.parse("control.toml", text, Map.of()));
    }

    @Test
    void deployedControlFileIsRead() throws ConfigurationException {
        // when
        ControlFile file = ControlFile.read("deploy/control.toml");
        // then
        assertEquals(3, file.tier().replicas().size());
        assertEquals(List.of("booking", "recall"), file.scopes());
        assertEquals(List.of("north", "south", "west"), file.zones());
        assertTrue(ControlServer.explain("deploy/control.toml").startsWith("replica 0 of 3, the first 3 vote"));
    }

    @Test
    void optionalKeysHaveDefaults() throws ConfigurationException {
        // when
        ControlFile file = read(VALID);
        // then
        assertEquals(new InetSocketAddress("127.0.0.1", 7303), file.listenAddress());
        assertEquals(2_000_000, file.tier().group().leaseMicros());
        assertEquals(1_200_000, file.tier().group().subscriberLeaseMicros());
        assertEquals(List.of(), file.zones());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "me = 2 | me = 3 | control.toml:5: control.me: expected a whole number from 0 to 2, found 3",
                "me = 2 | mee = 2 | control.toml:1: control.me: expected a whole number from 0 to 2, found nothing",
                "voters = 3 | voters = 2 | control.toml:4: control.voters: expected an odd number of at most the 3 replicas",
                "voters = 3 | voters = 5 | control.toml:4: control.voters: expected an odd number of at most the 3 replicas",
                "voters = 3 | voters = 3~subscriber_lease = \"3s\" | control.subscriber_lease: expected a duration no longer than",
                "7302 | 73x2 | control.toml:3: control.replicas: expected addresses such as",
                "7302 | 7301 | control.toml:3: control.replicas: expected 1 to 31 addresses, each once",
                "recall | booking | control.toml:7: control.scopes: expected names of services, each once",
                "recall | re call | control.toml:7: control.scopes: expected names of 1 to 64 letters",
                "folder = \"scopes\" | folder = 3 | control.toml:8: control.folder: expected a text",
                "folder = \"scopes\" | folders = \"scopes\" | control.folder: expected a text that is not empty, found nothing",
                "me = 2 | me = 2~near = [1] | control.toml:6: control.near: unknown; expected one of",
                "[control] | [kontrol] | control: expected a table [control]",
            })
    void errorNamesFileLineAndKey(String valid, String invalid, String message) {
        // when
        ConfigurationException exception = assertThrows(
                ConfigurationException.class, () -> read(VALID.replace(valid, invalid.replace('~', '\n'))));
        // then
        assertTrue(exception.getMessage().contains(message), exception.getMessage());
    }
}
