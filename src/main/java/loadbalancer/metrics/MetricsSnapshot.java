package loadbalancer.metrics;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The values of all counters at one time.
 *
 * @param classes counters by name of the request class, in the order in which the classes were added
 * @param inFlight number of requests that are admitted and not completed
 * @param sentAttempts number of attempts whose last byte was written to an upstream
 * @param upstreams number of endpoints in the list
 * @param unhealthyUpstreams number of those that receive no requests
 * @param reloadsApplied number of configurations applied at SIGHUP
 * @param reloadsRejected number of configurations rejected at SIGHUP
 */
public record MetricsSnapshot(
        Map<String, ClassCounts> classes,
        long inFlight,
        long sentAttempts,
        int upstreams,
        int unhealthyUpstreams,
        long reloadsApplied,
        long reloadsRejected) {
    /** Numbers of completed requests of one class, by outcome. */
    public record ClassCounts(long served, long rejected, long failed) {
        private Map<String, Object> toJson() {
            Map<String, Object> json = new LinkedHashMap<>();
            json.put("answered", served);
            json.put("deferred", rejected);
            json.put("errored", failed);
            return json;
        }
    }

    /** The counters as a JSON object, with the documented names and in the documented order. */
    public Map<String, Object> toJson() {
        Map<String, Object> transactions = new LinkedHashMap<>();
        classes.forEach((name, counts) -> transactions.put(name, counts.toJson()));
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("transactions", transactions);
        json.put("current", inFlight);
        json.put("sends", sentAttempts);
        json.put("cluster_size", upstreams);
        json.put("cluster_unhealthy", unhealthyUpstreams);
        json.put("conf_loaded", reloadsApplied);
        json.put("conf_invalid", reloadsRejected);
        return json;
    }
}
