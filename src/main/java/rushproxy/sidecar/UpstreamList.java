package rushproxy.sidecar;

import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import rushproxy.Balancer.Upstream;
import rushproxy.Balancer.UpstreamState;

/** A list of upstreams, or of changes, in discovery's form. */
record UpstreamList(long generation, boolean whole, List<Entry> entries) {

    record Entry(Upstream upstream, InetSocketAddress address) {}

    /** Module time runs on from Unix time, so a start needs no more than its unit changed. */
    static UpstreamList of(Json json) {
        List<Entry> entries = new ArrayList<>();
        for (Json e : json.objects("instances")) {
            UpstreamState state = switch (e.text("lifecycle")) {
                case "Ready" -> UpstreamState.READY;
                case "Terminating" -> UpstreamState.DRAINING;
                case "Gone" -> UpstreamState.GONE;
                default -> throw new IllegalArgumentException("lifecycle '" + e.text("lifecycle") + "' is unknown");
            };
            entries.add(new Entry(new Upstream(e.text("instanceId"), e.textOr("zone", ""), e.textOr("machineType", ""),
                    (int) e.numberOr("cell", -1), e.numberOr("startedAtMs", 0) * 1000, e.realOr("weight", 1), state),
                    address(e.text("hostPort"))));
        }
        return new UpstreamList(json.number("generation"), json.flag("reset"), entries);
    }

    /** An address in numbers: there is no DNS, and nothing here may block on a look-up. */
    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        byte[] host = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        if (host == null) {
            throw new IllegalArgumentException("no address: '" + text + "'");
        }
        try {
            return new InetSocketAddress(java.net.InetAddress.getByAddress(host),
                    Integer.parseInt(text.substring(colon + 1)));
        } catch (java.net.UnknownHostException | NumberFormatException e) {
            throw new IllegalArgumentException("no address: '" + text + "'");
        }
    }
}
