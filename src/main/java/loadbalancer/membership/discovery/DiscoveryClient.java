package loadbalancer.membership.discovery;

/** Sends the watch's calls to discovery, one at a time. All methods and callbacks run on the watch's thread. */
public interface DiscoveryClient {
    /** Notified once of how a call ended, unless the call was abandoned; never within {@link #get}. */
    interface ResponseListener {
        /**
         * Called when a response has arrived.
         *
         * @param status    HTTP status; 0 if the response is not valid HTTP
         * @param keepAlive whether the connection can be reused for the next call
         */
        void onResponse(int status, byte[] body, boolean keepAlive);

        /** Called when there will be no response, because the connection could not be opened or broke. */
        void onFailure(String reason);
    }

    /** Sends a GET request for {@code uri}. */
    void get(String uri, ResponseListener listener);

    /**
     * Abandons the open call, if any, without notifying its listener, and closes the connection so that no late
     * response can arrive.
     */
    void disconnect();
}
