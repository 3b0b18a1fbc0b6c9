package rushproxy;

import rushproxy.sidecar.Sidecar;
import rushproxy.wire.SimHost;

/** Command line: {@code serve} runs a sidecar, {@code simhost} hosts many instances on the simulator's wire. */
public final class Main {
    private Main() {}

    public static void main(String[] args) throws Exception {
        if (args.length == 1 && args[0].equals("simhost")) {
            System.exit(new SimHost(System.in, System.out, System.err).run());
        }
        if (args.length == 1 && args[0].equals("serve")) {
            System.exit(Sidecar.serve(System.getenv()));
        }
        System.err.println("usage: java -jar rushproxy.jar serve|simhost");
        System.exit(2);
    }
}
