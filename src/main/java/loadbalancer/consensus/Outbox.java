package loadbalancer.consensus;

/** Takes the messages that a process sends. */
@FunctionalInterface
interface Outbox {
    /**
     * Sends a message, which may be lost, delayed, duplicated or reordered.
     *
     * @param to number of the receiving process, which may be the sender
     */
    void send(int to, Message message);
}
