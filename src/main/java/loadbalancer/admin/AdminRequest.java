package loadbalancer.admin;

/** A request of an operator to a process. */
public sealed interface AdminRequest {
    /**
     * Parses a request from the method and target of an HTTP request. A query is ignored.
     *
     * @return {@link Unrecognized} if there is no such request
     */
    static AdminRequest parse(String method, String target) {
        return AdminRequestParser.parse(method, target);
    }

    /** Asks whether the process is ready. */
    record Ready() implements AdminRequest {}

    /** Asks for the counters of the sidecar since its start. */
    record Counters() implements AdminRequest {}

    /** Takes an upstream out of service until {@link Online}. */
    record Offline(String upstreamId) implements AdminRequest {}

    /** Puts an upstream back into service. */
    record Online(String upstreamId) implements AdminRequest {}

    /** Takes the sidecar out of service, which drains its clients, until {@link InService}. */
    record OutOfService() implements AdminRequest {}

    /** Puts the sidecar back into service. */
    record InService() implements AdminRequest {}

    /** Asks for the active policy of the sidecar and its unfinished change. */
    record Policy() implements AdminRequest {}

    /** Proposes the content of the sidecar's policy file for the whole fleet. */
    record Propose() implements AdminRequest {}

    /** Rolls back an unfinished change of policy. */
    record Abort() implements AdminRequest {}

    /** Asks for the active version of each scope of a control replica. */
    record Scopes() implements AdminRequest {}

    /** Asks for the active version of one scope and its unfinished change. */
    record Scope(String name) implements AdminRequest {}

    /** Proposes the content of the scope's file for all its subscribers. */
    record ProposeScope(String name) implements AdminRequest {}

    /** Rolls back an unfinished change of the scope. */
    record AbortScope(String name) implements AdminRequest {}

    /**
     * A malformed or unknown request.
     *
     * @param status HTTP status of the response
     * @param reason error text of the response
     */
    record Unrecognized(int status, String reason) implements AdminRequest {}
}
