package loadbalancer.core;

/** Whether the client of a request still waits for its response. */
public enum ClientPresence {
    CONNECTED,
    GONE,
    /** More of the client's input was unread than could be read at a stretch, and its end may be behind that. */
    UNKNOWN
}
