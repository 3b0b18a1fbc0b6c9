package loadbalancer.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import loadbalancer.membership.StalenessPolicy;
import loadbalancer.subset.SubsetOptions;
import loadbalancer.toml.ConfigurationException;
import loadbalancer.trace.SamplingOptions;
import loadbalancer.zones.ZoneOptions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests reading the operator's file: values, defaults, and errors with their file, line and key. */
class OperatorFileTest {
    @TempDir
    Path folder;

    private OperatorConfiguration read(String text) throws Exception {
        return OperatorFile.read(
                Files.writeString(folder.resolve("operator.toml"), text).toString());
    }

    private void assertInvalid(String text, int line, String expectedPart) {
        ConfigurationException exception = assertThrows(ConfigurationException.class, () -> read(text), text);
        String expectedStart = folder.resolve("operator.toml") + ":" + line + ": ";
        assertTrue(exception.getMessage().startsWith(expectedStart), exception.getMessage());
        assertTrue(exception.getMessage().contains(expectedPart), exception.getMessage());
        assertEquals(1, exception.getMessage().lines().count());
    }

    @Test
    void leavesEverythingOffForAnEmptyFile() throws Exception {
        assertEquals(OperatorConfiguration.NONE, read(""));
        assertNull(read("# nothing\n").membership());
    }

    @Test
    void readsSubsetAndLogFormat() throws Exception {
        OperatorConfiguration configuration = read(
                "[subset]\nleast = 7\nrequests_per_node = 1.5\nlinger = \"3s\"\nsidecars = 900\n[log]\nformat = \"json\"\n");
        assertEquals(new SubsetOptions(7, 1.5, 3_000_000, 900), configuration.subset());
        assertTrue(configuration.jsonLog());
        assertTrue(OperatorSummary.describe(configuration).toString().contains("7 nodes at least"));
        assertEquals(new SubsetOptions(5, 2, 10_000_000, 0), read("[subset]\n").subset());
    }

    @Test
    void readsAllMembershipKeys() throws Exception {
        OperatorConfiguration.MembershipOptions membership =
                read("""
                [membership]
                fresh = "1min"
                oldest = "7d"
                known_age = "2h"
                trials_per_second = 3
                trials_at_once = 5
                registry_spread = "250ms"
                [membership.disk]
                folder = "/var/lib/x"
                fleet = "f"
                writes_per_minute = 10
                refresh = "20s"
                largest = "64KiB"
                """)
                        .membership();
        assertEquals(
                new StalenessPolicy(60_000_000, 7 * 86_400_000_000L, 7_200_000_000L, 3, 5), membership.staleness());
        assertEquals(250_000, membership.discoverySpreadMicros());
        assertEquals(
                new OperatorConfiguration.DiskOptions(Path.of("/var/lib/x"), "f", 10, 20_000_000, 65_536),
                membership.disk());
        assertEquals(
                9,
                OperatorSummary.describe(new OperatorConfiguration(membership, null, null, null, null, false))
                        .size());
    }

    @Test
    void readsTracesAndReportsTheirErrors() throws Exception {
        OperatorConfiguration.TraceOptions traces =
                read("""
                [traces]
                trouble_per_second = 20
                slow_percent = 150
                marked = ["booking-confirm"]
                retry_window = "10s"
                [traces.file]
                folder = "/var/log/x"
                [traces.collector]
                address = "127.0.0.1:4318"
                """)
                        .traces();
        assertEquals(
                new SamplingOptions(20, 5, 1, 1.5, Set.of("booking-confirm"), 2_000, 10_000_000), traces.sampling());
        assertEquals(new OperatorConfiguration.TraceFileOptions(Path.of("/var/log/x"), 16 << 20, 4), traces.file());
        assertEquals("/v1/traces", traces.collector().path());
        assertEquals(
                7,
                OperatorSummary.describe(new OperatorConfiguration(null, null, traces, null, null, false))
                        .size());
        assertInvalid("[traces]\n", 1, "traces.file: expected a table, [traces.file] or [traces.collector]");
        assertInvalid("[traces]\nmarked = [\"a\", 3]\n", 2, "traces.marked: expected a list of texts");
        assertInvalid(
                "[traces]\nordinary_per_second = -1\n",
                2,
                "traces.ordinary_per_second: expected a whole number from 0 to 1000");
        assertInvalid(
                "[traces.collector]\naddress = \"collector:4318\"\n",
                2,
                "traces.collector.address: expected an address");
        assertInvalid(
                "[traces.collector]\naddress = \"127.0.0.1:4318\"\npath = \"v1\"\n",
                3,
                "traces.collector.path: expected a path");
        assertInvalid("[traces.file]\nfolder = \"/x\"\nrotate = 3\n", 3, "traces.file.rotate: unknown");
    }

    @Test
    void readsZonesAndReportsTheirErrors() throws Exception {
        ZoneOptions zones =
                read("""
                [zones]
                away = ["west"]
                doubling = "4s"
                [[zones.tier]]
                zones = ["north"]
                [[zones.tier]]
                zones = ["south", "west"]
                """)
                        .zones();
        assertEquals(List.of(List.of("north"), List.of("south", "west")), zones.tiers());
        assertEquals(Set.of("west"), zones.drainedZones());
        assertEquals(4_000_000, zones.rateDoublingMicros());
        assertTrue(OperatorSummary.describe(new OperatorConfiguration(null, null, null, zones, null, false))
                .toString()
                .contains("away: [west]"));
        assertInvalid("[zones]\nremembered = 3\n", 2, "zones.remembered: expected a whole number from 100 to 1000000");
        assertInvalid(
                "[zones]\n[[zones.tier]]\nzones = [\"a\"]\n[[zones.tier]]\nzones = [\"a\"]\n",
                5,
                "zones that no other tier has");
        assertInvalid("[zones]\n[[zones.tier]]\nzone = [\"a\"]\n", 3, "zone: unknown");
    }

    /**
     * The file in deploy has all keys commented out. With the comment signs removed, its staleness values are the
     * defaults.
     */
    @Test
    void readsTheFileInDeployWithAndWithoutCommentSigns() throws Exception {
        OperatorConfiguration configuration = OperatorFile.read("deploy/operator.toml");
        assertEquals(OperatorConfiguration.NONE, configuration);
        String uncommented = Files.readString(Path.of("deploy/operator.toml")).replaceAll("(?m)^#(?=[a-z\\[])", "");
        OperatorConfiguration.MembershipOptions membership = read(uncommented).membership();
        assertEquals("wien-termine", membership.disk().fleet());
        assertEquals(
                read("[membership]").membership().staleness(),
                membership.staleness(),
                "a commented-out value differs from the default");
        OperatorConfiguration.GrpcOptions grpc = read(uncommented).grpc();
        assertEquals("booking-confirm", grpc.route("/zahnplan.Booking/Confirm").requestClass());
        assertEquals("slot-lookup", grpc.route("/zahnplan.Slots/Any").requestClass());
        assertEquals("booking-confirm", grpc.route("/other.Service/Any").requestClass());
        assertNull(grpc.route("/nonsense"));
    }

    @Test
    void reportsErrorsOfTheFileAsAWhole() {
        assertInvalid(
                "[members]\n",
                1,
                "members: unknown; expected one of consensus, control, grpc, log, membership, subset, traces, zones");
        assertInvalid("[membership\n", 1, "no TOML");
        ConfigurationException exception = assertThrows(
                ConfigurationException.class,
                () -> OperatorFile.read(folder.resolve("none").toString()));
        assertTrue(exception.getMessage().contains("can't be read"), exception.getMessage());
    }

    @Test
    void reportsErrorsOfMembership() {
        assertInvalid(
                "[membership]\nfresch = \"1s\"\n", 2, "membership.fresch: unknown; expected one of disk, fresh, ");
        assertInvalid("[membership]\n\nfresh = \"1 s\"\n", 3, "membership.fresh: expected a duration from");
        assertInvalid("[membership]\nfresh = 30\n", 2, "found 30");
        assertInvalid("[membership]\nfresh = \"2h\"\n", 2, "\"1h\"");
        assertInvalid(
                "[membership]\nfresh = \"1h\"\noldest = \"1min\"\n",
                3,
                "membership.oldest: expected a duration no shorter");
        assertInvalid("[membership]\ntrials_per_second = 0\n", 2, "a whole number from 1 to 100, found 0");
        assertInvalid("[membership]\ntrials_at_once = 1.5\n", 2, "a whole number from 1 to 64");
        assertInvalid("[membership]\ntrials_at_once = \"3\"\n", 2, "found \"3\"");
        assertInvalid("membership = 3\n", 1, "expected a table");
        assertInvalid(
                "[membership.disk]\nfleet = \"f\"\n",
                1,
                "membership.disk.folder: expected a text that is not empty, found nothing");
        assertInvalid("[membership.disk]\nfolder = \"\"\nfleet = \"f\"\n", 2, "membership.disk.folder");
        assertInvalid("[membership.disk]\nfolder = \"x\"\nfleet = \"f\"\nlargest = \"1GB\"\n", 4, "a size from");
        assertInvalid("[membership]\nfresh = \"1s\"\nfresh = \"2s\"\n", 3, "no TOML");
    }

    @Test
    void reportsErrorsOfControlAndConsensus() {
        String control = "[zones]\n[control]\nfleet = \"x\"\nscope = \"booking\"\n";
        assertInvalid(control, 2, "control.replicas: expected 1 to 31 addresses, each once, found nothing");
        assertInvalid(
                control + "replicas = [\"127.0.0.1:1\"]\n",
                2,
                "control.voters: expected an odd number of at most the 1 replicas");
        assertInvalid(
                control + "replicas = [\"127.0.0.1:1\"]\nvoters = 1\nnear = [1]\n",
                7,
                "control.near: expected a list of whole numbers from 0 to 0");
        assertInvalid(
                "[control]\nscope = \"b\"\n",
                2,
                "control.scope: expected a table [zones] beside [control], and no [consensus]");
        assertInvalid(
                "[zones]\n[accord]\nfleet = \"x\"\n", 2, "accord: expected its new name, [consensus], found a table");
    }

    @Test
    void reportsErrorsOfLogAndSubset() {
        assertInvalid("[log]\nformat = \"xml\"\n", 2, "log.format: expected \"text\" or \"json\", found \"xml\"");
        assertInvalid("[subset]\nleast = 1\n", 2, "subset.least: expected a whole number from 2 to 1000, found 1");
        assertInvalid(
                "[subset]\nrequests_per_node = \"2\"\n",
                2,
                "subset.requests_per_node: expected a number from 0.01 to 10000.0, found \"2\"");
    }

    @Test
    void reportsErrorsOfGrpc() {
        assertInvalid("[grpc]\nlisten = \"localhost:1\"\n", 2, "an address such as");
        assertInvalid("[grpc]\nlisten = \"127.0.0.1:1\"\n", 1, "grpc.other: expected a table");
        assertInvalid("[grpc]\nlisten = \"127.0.0.1:1\"\nmethod = 3\n", 3, "a list of tables");
        assertInvalid(
                "[grpc]\nlisten = \"127.0.0.1:1\"\n[grpc.other]\nclass = \"c\"\nstreams = 1\n", 5, "true or false");
        assertInvalid(
                "[grpc]\nlisten = \"127.0.0.1:1\"\n[[grpc.method]]\nname = \"a\"\nclass = \"c\"\n[[grpc.method]]\n"
                        + "name = \"a\"\nclass = \"c\"\n",
                7,
                "a name that no other method has");
    }
}
