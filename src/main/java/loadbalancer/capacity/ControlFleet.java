package loadbalancer.capacity;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import loadbalancer.control.ControlGroup;

/**
 * Configuration of a control tier and its sidecars in a scale run, the same at all hosts. Processes are numbered,
 * replicas first, then sidecars.
 *
 * @param scopes number of scopes
 * @param scopesPerSidecar number of scopes that each sidecar subscribes to
 * @param leaseMicros length of a replica's lease
 * @param subscriberLeaseMicros length of a sidecar's lease
 */
public record ControlFleet(
        int replicas,
        int voters,
        int sidecars,
        int scopes,
        int scopesPerSidecar,
        long leaseMicros,
        long subscriberLeaseMicros) {
    private static final int ARGUMENT_COUNT = 7;

    int processes() {
        return replicas + sidecars;
    }

    ControlGroup group() {
        List<String> names =
                IntStream.range(0, scopes).mapToObj(scope -> "service-" + scope).toList();
        return new ControlGroup("scale", names, voters, replicas, leaseMicros, subscriberLeaseMicros);
    }

    /**
     * The scopes that a sidecar subscribes to, drawn with its number as the seed, so that all hosts draw the same ones.
     */
    List<Integer> scopesOf(int number) {
        return new SplittableRandom(number)
                .ints(0, scopes)
                .distinct()
                .limit(Math.min(scopes, scopesPerSidecar))
                .boxed()
                .toList();
    }

    /** Number of sidecars that subscribe to a scope. */
    int subscribers(int scope) {
        return (int) IntStream.range(replicas, processes())
                .filter(number -> scopesOf(number).contains(scope))
                .count();
    }

    /** Command-line arguments for a host. */
    List<String> arguments() {
        return List.of(
                String.valueOf(replicas),
                String.valueOf(voters),
                String.valueOf(sidecars),
                String.valueOf(scopes),
                String.valueOf(scopesPerSidecar),
                String.valueOf(leaseMicros),
                String.valueOf(subscriberLeaseMicros));
    }

    /** Parses what {@link #arguments} returns; further arguments are ignored. */
    static ControlFleet parse(List<String> arguments) {
        if (arguments.size() < ARGUMENT_COUNT) {
            throw new IllegalArgumentException(
                    arguments.size() + " arguments found, at least " + ARGUMENT_COUNT + " expected");
        }
        return new ControlFleet(
                Integer.parseInt(arguments.get(0)),
                Integer.parseInt(arguments.get(1)),
                Integer.parseInt(arguments.get(2)),
                Integer.parseInt(arguments.get(3)),
                Integer.parseInt(arguments.get(4)),
                Long.parseLong(arguments.get(5)),
                Long.parseLong(arguments.get(6)));
    }
}
