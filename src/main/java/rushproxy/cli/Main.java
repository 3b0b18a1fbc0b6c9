package rushproxy.cli;

import java.util.Arrays;
import java.util.List;
import rushproxy.operator.Broken;
import rushproxy.operator.Operator;
import rushproxy.operator.OperatorFile;
import rushproxy.sidecar.Sidecar;
import rushproxy.wire.SimHost;

/** Command line; each command loads no more than it needs. */
public final class Main {
    private static final String USAGE = """
            usage: java -jar rushproxy.jar COMMAND
              serve [--operator FILE]             runs a sidecar, told by BALANCER_CONFIG and the operator's file
              check FILE                          says what an operator's file would do, or what is wrong with it
              demo [--seconds N] [--rate N] [--grpc]  a small world on loopback: nodes, a registry, a sidecar and its clients
              simhost                             hosts many instances on the simulator's wire""";

    private Main() {}

    public static void main(String[] args) throws Exception {
        List<String> rest = Arrays.asList(args).subList(Math.min(1, args.length), args.length);
        switch (args.length == 0 ? "" : args[0]) {
            case "simhost" -> System.exit(rest.isEmpty() ? new SimHost(System.in, System.out, System.err).run() : usage());
            case "serve" -> System.exit(serve(rest));
            case "check" -> System.exit(rest.size() == 1 ? check(rest.get(0)) : usage());
            case "demo" -> System.exit(Demo.run(rest));
            default -> System.exit(usage());
        }
    }

    static int usage() {
        System.err.println(USAGE);
        return 2;
    }

    private static int serve(List<String> rest) throws InterruptedException {
        if (rest.isEmpty()) {
            return Sidecar.serve(System.getenv(), () -> Operator.NONE);
        }
        if (rest.size() == 2 && rest.get(0).equals("--operator")) {
            return Sidecar.serve(System.getenv(), () -> OperatorFile.read(rest.get(1)));
        }
        return usage();
    }

    private static int check(String file) {
        try {
            OperatorFile.explain(OperatorFile.read(file)).forEach(System.out::println);
            return 0;
        } catch (Broken e) {
            System.err.println(e.getMessage());
            return 2;
        }
    }
}
