package loadbalancer.balancing;

/** The components that select upstreams and check what may be sent to them. */
record Selection(
        AttemptRules rules,
        ConnectionReuse connections,
        CapacityCheck capacity,
        RequestSplit split,
        UpstreamPicker picker,
        Hedging hedging) {}
