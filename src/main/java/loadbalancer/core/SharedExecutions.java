package loadbalancer.core;

/** Ids of requests that may have been executed, shared with the other process of a sidecar during an upgrade. */
public interface SharedExecutions {
    /** Used while no other process can serve. */
    SharedExecutions NONE = new SharedExecutions() {
        @Override
        public void add(String id) {}

        @Override
        public void remove(String id) {}

        @Override
        public boolean contains(String id) {
            return false;
        }
    };

    /** Records that a request may be executed from now on. */
    void add(String id);

    /** Records that a request surely was not executed. */
    void remove(String id);

    /** Whether a request with this id may have been executed by either process lately. */
    boolean contains(String id);
}
