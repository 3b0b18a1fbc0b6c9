package loadbalancer.simulation;

import java.io.IOException;
import java.util.Arrays;
import java.util.function.Consumer;
import loadbalancer.membership.EndpointList;
import loadbalancer.membership.disk.EndpointListFile;

/** A sidecar's folder in virtual time, over its restarts: two files that take turns, in the bytes that the real ones have. */
final class SimulatedDisk {
    private final String fleet;
    private final long everyUs;
    private final Consumer<String> notes;
    private final byte[][] files = new byte[2][];
    private byte[] before;
    private long number;
    private long writtenUs = Long.MIN_VALUE / 2;

    SimulatedDisk(String fleet, int writesPerMinute, Consumer<String> notes) {
        this.fleet = fleet;
        everyUs = 60_000_000L / writesPerMinute;
        this.notes = notes;
    }

    /** Lists that come too soon after the last are not written: the next one will be. */
    void keep(long now, EndpointList list) {
        if (now - writtenUs < everyUs) {
            return;
        }
        writtenUs = now;
        number++;
        before = files[(int) (number % 2)];
        files[(int) (number % 2)] = new EndpointListFile(number, list).encode(fleet);
    }

    /** The newest whole list, or null. */
    EndpointList read() {
        EndpointListFile best = null;
        for (byte[] file : files) {
            try {
                EndpointListFile found = file == null ? null : EndpointListFile.decode(file, fleet);
                best = found != null && (best == null || found.sequence() > best.sequence()) ? found : best;
            } catch (IOException | RuntimeException exception) {
                notes.accept("the list on disk can't be used: " + exception.getMessage());
            }
        }
        return best == null ? null : best.list();
    }

    /** The newest file is cut. */
    void tear() {
        byte[] newest = files[(int) (number % 2)];
        if (newest != null) {
            files[(int) (number % 2)] = Arrays.copyOf(newest, newest.length * 2 / 3);
        }
    }

    /** The last write never reached it. */
    void forget() {
        files[(int) (number % 2)] = before;
    }
}
