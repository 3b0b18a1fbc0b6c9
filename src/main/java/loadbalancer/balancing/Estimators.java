package loadbalancer.balancing;

/** The estimators on which decisions are based. */
record Estimators(
        WorkEstimator work,
        ArrivalRateEstimator arrivals,
        CongestionEstimator congestion,
        FleetGossip gossip,
        SlowStart slowStart,
        ServiceTimeEstimator serviceTimes,
        LoadEstimator loads) {}
