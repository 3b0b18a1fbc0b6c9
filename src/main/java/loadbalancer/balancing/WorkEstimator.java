package loadbalancer.balancing;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.balancing.Balancer.Request;
import loadbalancer.balancing.Balancer.RequestClass;
import loadbalancer.balancing.Balancer.Settings;

/**
 * Estimates the work of requests by class, and its mean over arrivals. Work is measured in microseconds on a
 * standard core, which is one of service-time factor 1.
 */
final class WorkEstimator {
    /** Multiple of the expected value at which a single observation is capped, as costs have long tails. */
    static final double MAX_RATIO_TO_EXPECTED = 3;
    /** The initial estimate of a class's work is its latency objective divided by this. */
    private static final double INITIAL_OBJECTIVE_DIVISOR = 4.0;

    private static final double MEAN_GAIN = 0.01;

    private final Map<String, Double> workByClass = new HashMap<>();
    private double meanWorkMicros;

    WorkEstimator(Settings settings) {
        addClasses(settings);
        for (double workMicros : workByClass.values()) {
            meanWorkMicros += workMicros / workByClass.size();
        }
    }

    /** Adds initial estimates for classes that have none yet. */
    void addClasses(Settings settings) {
        for (RequestClass requestClass : settings.classes()) {
            workByClass.putIfAbsent(
                    requestClass.name(), requestClass.latencyObjectiveMicros() / INITIAL_OBJECTIVE_DIVISOR);
        }
    }

    /** Returns the mean work of a request, microseconds. */
    double meanWorkMicros() {
        return meanWorkMicros;
    }

    /** Returns the request's cost hint, or the estimate for its class if it has none; microseconds. */
    double workMicros(Request request, RequestClass requestClass) {
        return request.costHintMicros() > 0 ? request.costHintMicros() : workByClass.get(requestClass.name());
    }

    /** Updates the mean with the work of a request that has arrived. */
    void recordArrival(double workMicros) {
        meanWorkMicros += MEAN_GAIN * (Math.min(workMicros, MAX_RATIO_TO_EXPECTED * meanWorkMicros) - meanWorkMicros);
    }

    /** Multiplies the estimate of the class by 1 + {@code step}. */
    void adjust(RequestClass requestClass, double step) {
        workByClass.computeIfPresent(requestClass.name(), (name, workMicros) -> workMicros * (1 + step));
    }
}
