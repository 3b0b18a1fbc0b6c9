package loadbalancer.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import loadbalancer.consensus.audit.PolicyHistory;
import loadbalancer.consensus.audit.PolicyLogReader;
import loadbalancer.toml.ConfigurationException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Changes of policy in common, by any sidecar's address for operators. Exit code 0: yes; 1: no, with the sidecar's reason; 2: wrong input. */
@Command(
        name = "policy",
        description = "A policy that all sidecars go by, or none: what is in force, and changes.",
        mixinStandardHelpOptions = true,
        subcommands = {PolicyCommands.Past.class, PolicyCommands.Audit.class})
final class PolicyCommands {
    @Command(
            name = "status",
            description = "By which policy that sidecar goes, since when, and whom a change led there waits for.",
            mixinStandardHelpOptions = true)
    int status(@Mixin OperatorCall at) {
        return at.call("GET", "/control/policy");
    }

    @Command(
            name = "propose",
            description = "What that sidecar's policy file says is to be in force everywhere.",
            mixinStandardHelpOptions = true)
    int propose(@Mixin OperatorCall at) {
        return at.call("POST", "/control/policy/propose");
    }

    @Command(name = "abort", description = "Takes back what is open.", mixinStandardHelpOptions = true)
    int abort(@Mixin OperatorCall at) {
        return at.call("POST", "/control/policy/abort");
    }

    @Command(
            name = "history",
            description =
                    "What a fleet went by, from a folder with its sidecars' logs ([log] format = \"json\"), a file each.",
            mixinStandardHelpOptions = true)
    static final class Past implements Callable<Integer> {
        @Parameters(paramLabel = "FOLDER")
        private Path folder;

        @Override
        public Integer call() throws ConfigurationException {
            PolicyLogReader.read(folder).describe().forEach(System.out::println);
            return 0;
        }
    }

    @Command(
            name = "audit",
            description = "Whether what a fleet went by is as it must be: one policy, everywhere or nowhere.",
            mixinStandardHelpOptions = true)
    static final class Audit implements Callable<Integer> {
        @Parameters(paramLabel = "FOLDER")
        private Path folder;

        @Option(
                names = "--clocks",
                paramLabel = "MS",
                defaultValue = "100",
                description = "by how much clocks of two machines may differ (default: ${DEFAULT-VALUE})")
        private long clocksMs;

        @Override
        public Integer call() throws ConfigurationException {
            PolicyHistory history = PolicyLogReader.read(folder);
            List<String> broken = history.violations(clocksMs);
            broken.forEach(System.out::println);
            System.out.println(
                    broken.isEmpty() ? "holds: " + history.describe().size() + " stages" : "broken: " + broken.size());
            return broken.isEmpty() ? 0 : 1;
        }
    }
}
