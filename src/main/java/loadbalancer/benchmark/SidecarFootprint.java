package loadbalancer.benchmark;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import loadbalancer.capacity.ProcessMemory;
import loadbalancer.sidecar.CpuTime;
import loadbalancer.testbed.SidecarProcess;
import loadbalancer.testbed.Testbed;
import loadbalancer.testbed.UpstreamShape;

/**
 * What a real sidecar, started as {@code run} starts it, takes without requests.
 *
 * @param residentKb memory that is in the machine, kilobytes
 * @param cores      parts of a core
 */
public record SidecarFootprint(long residentKb, double cores) {
    /** With so many upstreams on its list, over so many milliseconds. */
    public static SidecarFootprint measure(int upstreams, long windowMs) throws Exception {
        try (Testbed world = new Testbed(UpstreamShape.SMALL)) {
            world.nodes(upstreams);
            Map<String, Object> list = Testbed.list(
                    40, world.nodes().stream().map(Testbed.Listed::of).toList());
            SidecarProcess sidecar = world.sidecar(1, list, null);
            world.ready(sidecar.address()).get(60, java.util.concurrent.TimeUnit.SECONDS);
            Thread.sleep(windowMs / 2);
            String pid = String.valueOf(sidecar.process().pid());
            long before = cpuMs(pid);
            Thread.sleep(windowMs);
            long used = cpuMs(pid) - before;
            return new SidecarFootprint(ProcessMemory.residentKilobytes(pid), (double) used / windowMs);
        }
    }

    private static long cpuMs(String pid) throws Exception {
        return CpuTime.usedMillis(Files.readString(Path.of("/proc", pid, "stat")));
    }
}
