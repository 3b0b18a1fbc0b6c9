package loadbalancer.cli;

import java.util.concurrent.Callable;
import loadbalancer.operator.OperatorFile;
import loadbalancer.operator.OperatorSummary;
import loadbalancer.toml.ConfigurationException;
import loadbalancer.trace.read.SpanFiles;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;

/** All commands but those of which a platform starts many, which load nothing of this. Exit code 2 is for wrong input. */
@Command(
        name = "sidecar",
        description = "A sidecar load balancer, and what its operators need.",
        mixinStandardHelpOptions = true,
        version = "bridgecleat 0.1.0",
        subcommands = {
            Commands.Serve.class,
            Commands.Check.class,
            Commands.Play.class,
            TraceCommands.class,
            LabCommands.class,
            PolicyCommands.class,
            ControlCommands.class,
            Commands.SimHost.class,
            CommandLine.HelpCommand.class
        })
final class Commands {
    private Commands() {}

    static int run(String... args) {
        CommandLine line = new CommandLine(new Commands());
        line.setExecutionExceptionHandler((exception, of, result) -> {
            if (exception instanceof ConfigurationException || exception instanceof SpanFiles.SpanFileException) {
                of.getErr().println(exception.getMessage());
                return 2;
            }
            throw exception;
        });
        if (args.length == 0) {
            line.usage(line.getErr());
            return 2;
        }
        return line.execute(args);
    }

    /** Here for the help text alone: {@link Main} starts it before any of this is loaded. */
    @Command(name = "serve", description = "Runs a sidecar, told by BALANCER_CONFIG and the operator's file.")
    static final class Serve implements Callable<Integer> {
        @Option(names = "--operator", paramLabel = "FILE")
        private String operator;

        @Override
        public Integer call() throws Exception {
            return Main.serve(operator);
        }
    }

    @Command(name = "simhost", description = "Hosts many instances on the simulator's wire.")
    static final class SimHost implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            return Main.simhost();
        }
    }

    @Command(name = "check", description = "Says what an operator's file would do, or what is wrong with it.")
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE")
        private String file;

        @Override
        public Integer call() throws ConfigurationException {
            OperatorSummary.describe(OperatorFile.read(file)).forEach(System.out::println);
            return 0;
        }
    }

    @Command(
            name = "demo",
            description = "Plays a small world on loopback: nodes, a registry, a sidecar and its clients.")
    static final class Play implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Option(
                names = "--seconds",
                paramLabel = "N",
                defaultValue = "20",
                description = "5 to 600 (default: ${DEFAULT-VALUE})")
        private int seconds;

        @Option(
                names = "--rate",
                paramLabel = "N",
                defaultValue = "60",
                description = "1 to 500 a second (default: ${DEFAULT-VALUE})")
        private int rate;

        @Option(names = "--grpc", description = "half of the requests as gRPC")
        private boolean grpc;

        @Option(names = "--traces", paramLabel = "FOLDER", description = "keeps the sidecar's traces there")
        private String traces;

        @Override
        public Integer call() throws Exception {
            bounded("--seconds", seconds, 5, 600);
            bounded("--rate", rate, 1, 500);
            return Demo.play(
                    seconds,
                    rate,
                    grpc,
                    traces == null
                            ? null
                            : java.nio.file.Path.of(traces).toAbsolutePath().toString());
        }

        private void bounded(String name, int value, int least, int most) {
            if (value < least || value > most) {
                throw new ParameterException(
                        spec.commandLine(), name + ": expected " + least + " to " + most + ", found " + value);
            }
        }
    }
}
