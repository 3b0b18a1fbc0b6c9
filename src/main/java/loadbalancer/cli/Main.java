package loadbalancer.cli;

import loadbalancer.operator.OperatorConfiguration;
import loadbalancer.operator.OperatorFile;
import loadbalancer.sidecar.SidecarMain;
import loadbalancer.wire.SimulatorHost;

/** Command line; each command loads no more than it needs. */
public final class Main {
    private Main() {}

    /** What a platform starts by the thousand is told apart by hand: a library for arguments costs every start. */
    public static void main(String[] args) throws Exception {
        boolean serve = args.length > 0 && args[0].equals("serve");
        if (serve && args.length == 1) {
            System.exit(serve((String) null));
        } else if (serve && args.length == 3 && args[1].equals("--operator")) {
            System.exit(serve(args[2]));
        } else if (args.length == 1 && args[0].equals("simhost")) {
            System.exit(simhost());
        } else {
            System.exit(Commands.run(args));
        }
    }

    /** {@code operator} is null where there is no file of the operator's. */
    static int serve(String operator) throws InterruptedException {
        return SidecarMain.serve(
                System.getenv(), () -> operator == null ? OperatorConfiguration.NONE : OperatorFile.read(operator));
    }

    static int simhost() throws Exception {
        return new SimulatorHost(System.in, System.out, System.err).run();
    }
}
