package loadbalancer.settings;

import loadbalancer.balancing.Balancer.LoadReport;

/** Collects the named values of one load report. Each value has two names, of which a site uses one. */
public final class LoadReportBuilder {
    private static final double NOT_REPORTED = -1;

    private double inFlight = NOT_REPORTED;
    private double queued = NOT_REPORTED;
    private double utilization = NOT_REPORTED;

    /** Sets the value with this name. Unknown names are ignored. */
    public void put(String name, double value) {
        switch (name) {
            case "busy_reqs", "inflight" -> inFlight = value;
            case "pending", "queue" -> queued = value;
            case "cpu_share", "util" -> utilization = value;
            default -> {
                // The balancer does not use any other value.
            }
        }
    }

    /** Returns the load report. Values that were not set are negative. */
    public LoadReport build() {
        return new LoadReport(inFlight, queued, utilization);
    }
}
