package loadbalancer.balancing;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.balancing.Balancer.Request;
import loadbalancer.balancing.Balancer.RequestClass;
import loadbalancer.balancing.Balancer.Settings;

/** Gives each arriving request its class, expected work, deadlines and place in the queue. */
final class RequestFactory {
    private final BalancerContext context;
    private final WorkEstimator work;
    private final Map<String, RequestClass> classesByName = new HashMap<>();
    private double maxPriorityWeight;

    RequestFactory(BalancerContext context, WorkEstimator work) {
        this.context = context;
        this.work = work;
        useClasses(context.settings);
    }

    /** Takes the settings' classes for requests from now on. */
    void useClasses(Settings settings) {
        classesByName.clear();
        maxPriorityWeight = 0;
        for (RequestClass requestClass : settings.classes()) {
            classesByName.put(requestClass.name(), requestClass);
            maxPriorityWeight = Math.max(maxPriorityWeight, requestClass.priorityWeight());
        }
    }

    /** @throws IllegalArgumentException if the settings have no class of the request's name */
    TrackedRequest create(long nowMicros, Request arrival) {
        RequestClass requestClass = classOf(arrival);
        double workMicros = work.workMicros(arrival, requestClass);
        if (!arrival.streaming()) {
            work.recordArrival(workMicros);
        }
        int maxAttempts = context.settings.limits().maxAttempts();
        TrackedRequest request = new TrackedRequest(arrival, requestClass, workMicros, maxAttempts);
        request.deadlineMicros = nowMicros + arrival.remainingMicros();
        request.contentionDraw = context.random.nextDouble();
        long objectiveMicros = (long)
                (requestClass.latencyObjectiveMicros() + requestClass.latencyObjectiveWorkMultiple() * workMicros);
        long usefulMicros = requestClass.lateWeightFraction() > 0 ? arrival.remainingMicros() : objectiveMicros;
        request.usefulUntilMicros = Math.min(request.deadlineMicros, nowMicros + usefulMicros);
        double rank = (1 - requestClass.priorityWeight() / maxPriorityWeight) / 2 + (arrival.retriedByClient() ? 1 : 0);
        request.queueOrderMicros = nowMicros + objectiveMicros + (long) (rank * objectiveMicros);
        return request;
    }

    private RequestClass classOf(Request arrival) {
        if (arrival.classAtAdmission() != null) {
            return arrival.classAtAdmission();
        }
        RequestClass requestClass = classesByName.get(arrival.requestClass());
        if (requestClass == null) {
            throw new IllegalArgumentException("no class '" + arrival.requestClass() + "'");
        }
        return requestClass;
    }
}
