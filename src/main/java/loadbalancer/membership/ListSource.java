package loadbalancer.membership;

/** Where an endpoint list comes from. Only lists from {@link #DISCOVERY} can remove an upstream. */
public enum ListSource {
    /** The sidecar's configuration at its start. */
    CONFIGURED,
    /** A file that an earlier process of the sidecar wrote. */
    DISK,
    /** A response from discovery. */
    DISCOVERY
}
