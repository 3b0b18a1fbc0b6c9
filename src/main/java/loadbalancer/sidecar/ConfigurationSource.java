package loadbalancer.sidecar;

import java.util.BitSet;
import java.util.function.Function;
import loadbalancer.consensus.ActiveStage;

/**
 * Where a sidecar learns the agreed configuration: consensus among the sidecars, or a control tier. Event loop only;
 * times are microseconds of the sidecar's clock.
 */
interface ConfigurationSource {
    /** Sends a datagram of at most 256 bytes to the member with this number; it may be lost. */
    interface Network {
        void send(int to, byte[] datagram);
    }

    /** Creates a source; {@code check} returns why this sidecar rejects a content, or null if it is valid. */
    interface Factory {
        ConfigurationSource create(Function<byte[], String> check);
    }

    ActiveStage activeStage(long nowMicros);

    /** Whether this process has learned which version is active. */
    boolean hasLearned();

    /** End of the lease on the active stage, or of the last lease. */
    long leaseExpiryMicros();

    /** Content of a version; null where this process does not have it. */
    byte[] content(long version);

    /** When {@link #tick} is due next, microseconds. */
    long nextTickMicros();

    void tick(long nowMicros);

    /** Handles a datagram from the member with this number. */
    void receive(long nowMicros, int from, byte[] datagram);

    /** Proposes a content; returns why it can't be proposed, or null. */
    String propose(long nowMicros, byte[] content);

    /** Rolls back the unfinished change; returns why that is impossible, or null. */
    String abort(long nowMicros);

    /** Whether the last proposal of this process is neither active nor abandoned yet. */
    boolean isProposalPending();

    /** Which member rejected the last proposal of this process, and why; null if none did. */
    String rejectionReason();

    /** Members whose response a change led by this process waits for. */
    BitSet awaitedMembers();

    /** Number of messages dropped because they belong to no group of this fleet. */
    long droppedMessages();
}
