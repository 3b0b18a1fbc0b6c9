package loadbalancer.membership;

/** The result of a check of an unverified endpoint. */
public enum EndpointEvidence {
    /** An upstream responds at the address, though not necessarily the one that was listed. */
    RESPONDS_AS_UPSTREAM,
    /** Connections are accepted, and the site allows no health check that would show more. */
    ACCEPTS_CONNECTIONS,
    /** Connections are refused: nothing listens at the address. */
    REFUSES_CONNECTIONS,
    /** Another kind of server responds at the address. */
    NOT_AN_UPSTREAM,
    /** The connection was not established, or no response arrived on it. */
    NO_RESPONSE
}
