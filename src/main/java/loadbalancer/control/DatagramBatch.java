package loadbalancer.control;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import loadbalancer.consensus.DatagramSender;

/**
 * Batches messages of several scopes into datagrams of at most {@link #MAX_BYTES}. A datagram has a tag, a version and,
 * for each message, its length in one byte and its bytes, which include a register id and a checksum. Full datagrams
 * are sent at once, the others by {@link #flush}.
 */
final class DatagramBatch {
    static final byte TAG = 'C';
    static final int MAX_BYTES = 256;

    private static final byte VERSION = 1;
    private static final int HEADER_BYTES = 2;
    private static final int LENGTH_BYTES = 1;
    private static final int MAX_MESSAGE_BYTES = MAX_BYTES - HEADER_BYTES - LENGTH_BYTES;

    private final DatagramSender sender;
    /** Datagrams that are not full yet, by receiving process. */
    private final Map<Integer, ByteBuffer> pending = new LinkedHashMap<>();

    DatagramBatch(DatagramSender sender) {
        this.sender = sender;
    }

    /** Whether a datagram is a batch, judging by its first byte. */
    static boolean isBatch(byte[] datagram) {
        return datagram.length > 0 && datagram[0] == TAG;
    }

    /**
     * Adds a message to the next datagram to a process.
     *
     * @throws IllegalArgumentException if the message does not fit a datagram
     */
    void add(int to, byte[] message) {
        if (message.length > MAX_MESSAGE_BYTES) {
            throw new IllegalArgumentException("message of " + message.length + " bytes, expected at most "
                    + MAX_MESSAGE_BYTES + " so that it fits a datagram");
        }
        ByteBuffer buffer = pending.get(to);
        if (buffer != null && buffer.remaining() < LENGTH_BYTES + message.length) {
            send(to, buffer);
            buffer = null;
        }
        if (buffer == null) {
            buffer = ByteBuffer.allocate(MAX_BYTES).put(TAG).put(VERSION);
            pending.put(to, buffer);
        }
        buffer.put((byte) message.length).put(message);
    }

    /** Sends all datagrams that are not full. */
    void flush() {
        pending.forEach(this::send);
        pending.clear();
    }

    private void send(int to, ByteBuffer buffer) {
        sender.send(to, Arrays.copyOf(buffer.array(), buffer.position()));
    }

    /**
     * Passes each complete message to the receiver; returns false if the datagram is no batch or ends within a message.
     */
    static boolean read(byte[] datagram, Consumer<byte[]> receiver) {
        boolean validHeader = datagram.length >= HEADER_BYTES
                && datagram.length <= MAX_BYTES
                && isBatch(datagram)
                && datagram[1] == VERSION;
        if (!validHeader) {
            return false;
        }
        ByteBuffer buffer = ByteBuffer.wrap(datagram, HEADER_BYTES, datagram.length - HEADER_BYTES);
        while (buffer.hasRemaining()) {
            int length = Byte.toUnsignedInt(buffer.get());
            if (buffer.remaining() < length) {
                return false;
            }
            byte[] message = new byte[length];
            buffer.get(message);
            receiver.accept(message);
        }
        return true;
    }
}
