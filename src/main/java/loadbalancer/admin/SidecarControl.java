package loadbalancer.admin;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** The operations of a sidecar for operators. All are called on the event loop and must not block it. */
public interface SidecarControl {
    /** Whether the process is ready for requests. */
    boolean isReady();

    /** The counters as a JSON object. */
    Map<String, Object> counters();

    /**
     * Takes an upstream out of service or puts it back.
     *
     * @param onResult called once with whether the endpoint list has the upstream
     */
    void setOffline(String upstreamId, boolean offline, Consumer<Boolean> onResult);

    /** The active policy and its unfinished change as a JSON object; empty if the fleet does not use consensus. */
    Optional<Map<String, Object>> policy();

    /**
     * Proposes the content of the policy file. Only valid if there is a {@link #policy}.
     *
     * @param onResult called once with the reason of a rejection; with null if the change was proposed
     */
    void propose(Consumer<String> onResult);

    /**
     * Rolls back an unfinished change of policy. Only valid if there is a {@link #policy}.
     *
     * @param onResult called once with the reason of a rejection; with null if the request was accepted
     */
    void abort(Consumer<String> onResult);

    /** Takes the sidecar out of service, which drains its clients, or puts it back. */
    void setOutOfService(boolean outOfService);
}
