package loadbalancer.testbed;

/**
 * What a stand-in node is like.
 *
 * @param cores     requests it works on at the same time
 * @param workMs    time of one request on a warm core
 * @param waiting   requests that may wait; more are turned away
 * @param coldShare part of its capacity with which it starts cold
 * @param rampMs    time until it is warm
 */
public record UpstreamShape(int cores, double workMs, int waiting, double coldShare, long rampMs) {
    /** A node like those of the brief, eight times as fast, so that a test or a demo needs no minutes. */
    public static final UpstreamShape SMALL = new UpstreamShape(1, 10, 12, 0.13, 3_000);
}
