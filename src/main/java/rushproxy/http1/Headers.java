package rushproxy.http1;

/** Names on the sockets, as the protocol has them. */
public final class Headers {
    public static final String TXN = "X-Txn";
    public static final String CLASS = "X-Lane";
    public static final String TENANT = "X-Org";
    public static final String REMAINING = "X-Remaining-Ms";
    public static final String RESENT = "X-Resent";
    public static final String ESTIMATE = "X-Estimate";
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    public static final String TURNED_AWAY = "X-Turned-Away";
    public static final String LOAD = "X-Pressure";
    /** Where probes ask for the load, and where an upstream only says that it lives. */
    public static final String STATS = "/stats", LIVE = "/health/live";
    /** The cookie that tells what a request is about. */
    public static final String KEY_COOKIE = "k";
    /** The most that a request's body may hold. */
    public static final int MAX_BODY = 64 * 1024;
    /** Upstreams do answer with more than the protocol's 64 KiB: up to 400 KB were seen. Beyond this it is noise. */
    public static final int MAX_ANSWER = 1024 * 1024;

    private Headers() {}
}
