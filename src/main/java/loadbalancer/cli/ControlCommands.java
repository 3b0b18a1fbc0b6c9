package loadbalancer.cli;

import java.util.concurrent.Callable;
import loadbalancer.control.server.ControlServer;
import loadbalancer.toml.ConfigurationException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The control tier: one replica as a process, and what operators ask of it. Exit codes as those of {@code policy}. */
@Command(
        name = "control",
        description = "A control replica, which decides with others by which configuration each service goes.",
        mixinStandardHelpOptions = true,
        subcommands = {ControlCommands.Run.class, ControlCommands.Check.class})
final class ControlCommands {
    private static final String SCOPES = "/control/scopes";

    /** Which scope is meant. */
    static final class Scope {
        @Option(names = "--scope", paramLabel = "NAME", required = true, description = "a service's name")
        private String name;
    }

    @Command(name = "run", description = "Runs a replica until it is told to end.", mixinStandardHelpOptions = true)
    static final class Run implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "such as deploy/control.toml")
        private String file;

        @Override
        public Integer call() throws InterruptedException {
            return ControlServer.run(file);
        }
    }

    @Command(
            name = "check",
            description = "Says what a replica's file would do, or what is wrong with it.",
            mixinStandardHelpOptions = true)
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE")
        private String file;

        @Override
        public Integer call() throws ConfigurationException {
            System.out.println(ControlServer.explain(file));
            return 0;
        }
    }

    @Command(
            name = "scopes",
            description = "What is in force in each scope, as far as that replica knows, and how many sidecars ask it.",
            mixinStandardHelpOptions = true)
    int scopes(@Mixin OperatorCall at) {
        return at.call("GET", SCOPES);
    }

    @Command(
            name = "status",
            description = "What is in force in a scope, and which replicas a change led there waits for.",
            mixinStandardHelpOptions = true)
    int status(@Mixin OperatorCall at, @Mixin Scope scope) {
        return at.call("GET", SCOPES + "/" + scope.name);
    }

    @Command(
            name = "propose",
            description = "What that replica's file of the scope says is to be in force at all that subscribe to it.",
            mixinStandardHelpOptions = true)
    int propose(@Mixin OperatorCall at, @Mixin Scope scope) {
        return at.call("POST", SCOPES + "/" + scope.name + "/propose");
    }

    @Command(name = "abort", description = "Takes back what is open in a scope.", mixinStandardHelpOptions = true)
    int abort(@Mixin OperatorCall at, @Mixin Scope scope) {
        return at.call("POST", SCOPES + "/" + scope.name + "/abort");
    }
}
