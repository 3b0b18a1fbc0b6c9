package rushproxy.sidecar;

/** Names on the sockets, as the protocol has them. */
final class Headers {
    static final String TXN = "X-Txn";
    static final String CLASS = "X-Lane";
    static final String TENANT = "X-Org";
    static final String REMAINING = "X-Remaining-Ms";
    static final String RESENT = "X-Resent";
    static final String ESTIMATE = "X-Estimate";
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    static final String TURNED_AWAY = "X-Turned-Away";
    static final String LOAD = "X-Pressure";
    /** The cookie that tells what a request is about. */
    static final String KEY_COOKIE = "k";
    /** The most that a request's body may hold. */
    static final int MAX_BODY = 64 * 1024;
    /** Upstreams do answer with more than the protocol's 64 KiB: up to 400 KB were seen. Beyond this it is noise. */
    static final int MAX_ANSWER = 1024 * 1024;

    private Headers() {}
}
