package loadbalancer.operator;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.membership.StalenessPolicy;
import loadbalancer.operator.OperatorConfiguration.DiskOptions;
import loadbalancer.operator.OperatorConfiguration.GrpcOptions;
import loadbalancer.operator.OperatorConfiguration.MembershipOptions;
import loadbalancer.operator.OperatorConfiguration.TraceOptions;
import loadbalancer.subset.SubsetOptions;
import loadbalancer.trace.SamplingOptions;
import loadbalancer.zones.ZoneOptions;

/** Summary of the operator's file, printed by the command {@code check}. The wording of its lines is stable. */
public final class OperatorSummary {
    private OperatorSummary() {}

    /** Returns one or more lines for each subsystem. Consensus and control have none if they are off. */
    public static List<String> describe(OperatorConfiguration configuration) {
        List<String> lines = new ArrayList<>();
        membership(configuration.membership(), lines);
        lines.add(grpc(configuration.grpc()));
        traces(configuration.traces(), lines);
        lines.add(zones(configuration.zones()));
        lines.add(subset(configuration.subset()));
        if (configuration.consensus() != null) {
            lines.add(consensus(configuration.consensus()));
        }
        if (configuration.control() != null) {
            lines.add(control(configuration.control().tier()));
        }
        lines.add("log: " + (configuration.jsonLog() ? "lines of JSON" : "lines of text"));
        return lines;
    }

    private static String consensus(ConsensusOptions consensus) {
        return "consensus: changes of [zones] away and tiers are decided in common by fleet '" + consensus.fleet()
                + "', the first " + consensus.voters() + " sidecars vote; who hears nothing for "
                + seconds(consensus.leaseMicros())
                + " is careful; proposed from " + consensus.file();
    }

    private static String control(ControlTier tier) {
        return "control: [zones] away and tiers are those of scope '"
                + tier.group().scopes().get(0) + "' of control tier '"
                + tier.group().fleet() + "' with "
                + tier.replicas().size() + " replicas; who hears nothing for "
                + seconds(tier.group().subscriberLeaseMicros()) + " is careful";
    }

    private static void membership(MembershipOptions membership, List<String> lines) {
        if (membership == null) {
            lines.add("membership: off; the list given at the start is taken as it is");
            return;
        }
        StalenessPolicy staleness = membership.staleness();
        lines.add("membership: a list up to " + seconds(staleness.maxFreshAgeMicros())
                + " old is used as it is, one up to " + seconds(staleness.maxUsableAgeMicros())
                + " after a trial of each upstream, an older one not at all");
        lines.add("membership: the age of 'known' is taken to be "
                + (staleness.assumedAgeMicros() < 0 ? "unknown, perhaps long" : seconds(staleness.assumedAgeMicros())));
        lines.add("membership: " + (long) staleness.checksPerSecond() + " trials a second without an answer, "
                + staleness.maxConcurrentChecks() + " at once; discovery is asked within "
                + seconds(membership.discoverySpreadMicros())
                + " of the start");
        lines.add(disk(membership.disk()));
    }

    private static String disk(DiskOptions disk) {
        if (disk == null) {
            return "membership.disk: off; no list is kept";
        }
        return "membership.disk: the list of fleet '" + disk.fleet()
                + "' is kept in " + disk.folder() + ", at most " + disk.maxWritesPerMinute()
                + " writes a minute and "
                + disk.maxFileBytes() + " bytes, written again every " + seconds(disk.refreshMicros());
    }

    private static String grpc(GrpcOptions grpc) {
        if (grpc == null) {
            return "grpc: off; no listener, no HTTP/2";
        }
        return "grpc: listens on " + grpc.listen() + " for "
                + grpc.maxConnections() + " connections of " + grpc.maxStreams() + " streams; "
                + (grpc.routes().size() - 1)
                + " names have a class, all others have '"
                + grpc.routes().get(grpc.routes().size() - 1).requestClass()
                + "'; a node gets " + grpc.maxUpstreamConnections() + " connections of " + grpc.maxUpstreamStreams()
                + " calls, three quarters of them streams, which go on for "
                + seconds(grpc.streamDrainMicros()) + " on a node that drains";
    }

    private static void traces(TraceOptions traces, List<String> lines) {
        if (traces == null) {
            lines.add("traces: off; no header of theirs is read or written");
            return;
        }
        SamplingOptions sampling = traces.sampling();
        lines.add("traces: at most " + (long) sampling.faultsPerSecond()
                + " of requests in trouble a second, beside a few of each kind, "
                + (long) sampling.notablePerSecond() + " with second copies or kept by the client's side, "
                + (long) sampling.ordinaryPerSecond() + " others; slow is beyond "
                + Math.round(sampling.slowObjectiveRatio() * 100)
                + " % of the aim");
        lines.add("traces: " + traces.maxPendingTraces() + " may wait; "
                + (traces.file() == null
                        ? "no file"
                        : traces.file().maxFiles() + " files of "
                                + traces.file().maxFileBytes() + " bytes in "
                                + traces.file().folder())
                + "; "
                + (traces.collector() == null
                        ? "no collector"
                        : "to the collector at " + traces.collector().address() + ", given up after "
                                + seconds(traces.deliveryTimeoutMicros())));
    }

    private static String zones(ZoneOptions zones) {
        if (zones == null) {
            return "zones: off; upstreams are taken one by one, and a client's own retry as a new request";
        }
        return "zones: "
                + (zones.tiers().isEmpty() ? "none is preferred" : "preferred in the order " + zones.tiers())
                + (zones.drainedZones().isEmpty() ? "" : "; away: " + zones.drainedZones())
                + "; a lost one is tried every "
                + seconds(zones.trialIntervalMicros())
                + ", others take over at most twice as much in " + seconds(zones.rateDoublingMicros()) + "; "
                + zones.maxIdempotencyKeys()
                + " keys are remembered for " + seconds(zones.idempotencyKeyRetentionMicros());
    }

    private static String subset(SubsetOptions subset) {
        if (subset == null) {
            return "subset: off; a sidecar keeps to all nodes";
        }
        return "subset: a sidecar keeps to " + subset.minUpstreams()
                + " nodes at least, one for each " + subset.requestsPerSecondPerUpstream()
                + " of its requests a second; what it leaves may end within "
                + seconds(subset.drainMicros())
                + (subset.sidecarCountOverride() == 0
                        ? ""
                        : "; there are " + subset.sidecarCountOverride() + " sidecars");
    }

    private static String seconds(long micros) {
        return micros % 1_000_000 == 0 ? micros / 1_000_000 + " s" : micros / 1_000 + " ms";
    }
}
