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
        return "consensus: [zones] away and tiers are agreed on by fleet '" + consensus.fleet()
                + "', whose first " + consensus.voters() + " sidecars vote; a sidecar whose lease of "
                + seconds(consensus.leaseMicros())
                + " has expired keeps the last policy, which may be outdated; proposals are read from "
                + consensus.file();
    }

    private static String control(ControlTier tier) {
        return "control: [zones] away and tiers come from scope '"
                + tier.group().scopes().get(0) + "' of control tier '"
                + tier.group().fleet() + "' with "
                + tier.replicas().size() + " replicas; a sidecar whose lease of "
                + seconds(tier.group().subscriberLeaseMicros())
                + " has expired keeps the last policy, which may be outdated";
    }

    private static void membership(MembershipOptions membership, List<String> lines) {
        if (membership == null) {
            lines.add("membership: off; endpoint lists are used whatever their age");
            return;
        }
        StalenessPolicy staleness = membership.staleness();
        lines.add("membership: a list up to " + seconds(staleness.maxFreshAgeMicros())
                + " old is used without checks, one up to " + seconds(staleness.maxUsableAgeMicros())
                + " after a check of each upstream, an older one not at all");
        lines.add("membership: known_age, the age assumed for a list without a time, is "
                + (staleness.assumedAgeMicros() < 0
                        ? "unknown, so that the list is checked"
                        : seconds(staleness.assumedAgeMicros())));
        lines.add("membership: at most " + (long) staleness.checksPerSecond()
                + " checks a second, not counting successful ones, and "
                + staleness.maxConcurrentChecks() + " at once; the first call to discovery is made within "
                + seconds(membership.discoverySpreadMicros())
                + " of the start");
        lines.add(disk(membership.disk()));
    }

    private static String disk(DiskOptions disk) {
        if (disk == null) {
            return "membership.disk: off; lists are not stored";
        }
        return "membership.disk: the endpoint list of fleet '" + disk.fleet()
                + "' is stored in " + disk.folder() + ", at most " + disk.maxWritesPerMinute()
                + " writes a minute and "
                + disk.maxFileBytes() + " bytes; an unchanged list is written again every "
                + seconds(disk.refreshMicros());
    }

    private static String grpc(GrpcOptions grpc) {
        if (grpc == null) {
            return "grpc: off; no listener, no HTTP/2";
        }
        return "grpc: listens on " + grpc.listen() + " for "
                + grpc.maxConnections() + " connections of " + grpc.maxStreams() + " streams; "
                + (grpc.routes().size() - 1)
                + " configured names have a class of their own, all others have '"
                + grpc.routes().get(grpc.routes().size() - 1).requestClass()
                + "'; an upstream gets " + grpc.maxUpstreamConnections() + " connections of "
                + grpc.maxUpstreamStreams()
                + " calls, up to three quarters of them streams, which may continue for "
                + seconds(grpc.streamDrainMicros()) + " once the upstream or this sidecar is draining";
    }

    private static void traces(TraceOptions traces, List<String> lines) {
        if (traces == null) {
            lines.add("traces: off; trace headers are neither read nor written");
            return;
        }
        SamplingOptions sampling = traces.sampling();
        lines.add("traces: at most " + (long) sampling.faultsPerSecond()
                + " a second of failed, refused, abandoned, repeated or slow requests besides a few of each kind, "
                + (long) sampling.notablePerSecond() + " hedged or sampled by the caller, "
                + (long) sampling.ordinaryPerSecond() + " others; a request is slow beyond "
                + Math.round(sampling.slowObjectiveRatio() * 100)
                + " % of its latency objective");
        lines.add("traces: " + traces.maxPendingTraces() + " traces may wait for delivery; "
                + (traces.file() == null
                        ? "no file"
                        : traces.file().maxFiles() + " files of "
                                + traces.file().maxFileBytes() + " bytes in "
                                + traces.file().folder())
                + "; "
                + (traces.collector() == null
                        ? "no collector"
                        : "to the collector at " + traces.collector().address()
                                + ", a batch that it does not accept is dropped after "
                                + seconds(traces.deliveryTimeoutMicros())));
    }

    private static String zones(ZoneOptions zones) {
        if (zones == null) {
            return "zones: off; zones of upstreams are ignored, and a client's own retry is handled as a new request";
        }
        return "zones: "
                + (zones.tiers().isEmpty() ? "none is preferred" : "preferred in the order " + zones.tiers())
                + (zones.drainedZones().isEmpty() ? "" : "; away: " + zones.drainedZones())
                + "; a trial request goes to an excluded zone every "
                + seconds(zones.trialIntervalMicros())
                + " on average, the rate to a zone at most doubles in " + seconds(zones.rateDoublingMicros()) + "; "
                + zones.maxIdempotencyKeys()
                + " idempotency keys are kept for " + seconds(zones.idempotencyKeyRetentionMicros());
    }

    private static String subset(SubsetOptions subset) {
        if (subset == null) {
            return "subset: off; each sidecar connects to all nodes";
        }
        return "subset: each sidecar connects to " + subset.minUpstreams()
                + " nodes at least, one for each " + subset.requestsPerSecondPerUpstream()
                + " of its requests a second; nodes that leave the subset drain for at most "
                + seconds(subset.drainMicros())
                + (subset.sidecarCountOverride() == 0
                        ? ""
                        : "; the fleet is taken to have " + subset.sidecarCountOverride() + " sidecars");
    }

    private static String seconds(long micros) {
        return micros % 1_000_000 == 0 ? micros / 1_000_000 + " s" : micros / 1_000 + " ms";
    }
}
