package loadbalancer.membership.discovery;

/** A call that the watch has started, for a test to respond to. */
record DiscoveryCall(long atMillis, String uri, DiscoveryClient.ResponseListener listener) {
    long waitMillis() {
        return Long.parseLong(uri.substring(uri.indexOf("&wait=") + 6));
    }
}
