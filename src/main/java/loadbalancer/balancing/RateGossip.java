package loadbalancer.balancing;

import java.nio.ByteBuffer;

/**
 * A gossip message with request rates and service-time factors, encoded as big-endian fixed-point numbers.
 */
final class RateGossip {
    private static final byte MESSAGE_TAG = 'R';
    private static final double RATE_SCALE = 100;
    private static final double FACTOR_SCALE = 256;
    private static final double MICROS_PER_MILLI = 1000;
    private static final int UNSIGNED_SHORT_MAX = 65_535;
    private static final int UNSIGNED_BYTE_MAX = 255;

    /** Mean requests per second over the fleet's sidecars, split by the zone of the sidecar. */
    final double[] zoneRates;
    /** Service-time factor of each machine type. */
    final double[] serviceTimeFactors;
    /** Number of responses on which each machine type's factor is based. */
    final int[] responseCounts;
    /** Latency as a multiple of the best latency, see {@link CongestionEstimator}. */
    double congestion;
    /** Idle time after which connections are dropped, microseconds; 0 if no drop was observed. */
    long idleLimitMicros;

    RateGossip(int zones, int machineTypes) {
        zoneRates = new double[zones];
        serviceTimeFactors = new double[machineTypes];
        responseCounts = new int[machineTypes];
    }

    private int encodedLength() {
        return Byte.BYTES
                + Short.BYTES * zoneRates.length
                + (Short.BYTES + Byte.BYTES) * serviceTimeFactors.length
                + 2 * Short.BYTES;
    }

    byte[] encode() {
        ByteBuffer buffer = ByteBuffer.allocate(encodedLength()).put(MESSAGE_TAG);
        for (double rate : zoneRates) {
            buffer.putShort(toUnsignedShort(rate * RATE_SCALE));
        }
        for (int i = 0; i < serviceTimeFactors.length; i++) {
            buffer.putShort(toUnsignedShort(serviceTimeFactors[i] * FACTOR_SCALE));
            buffer.put((byte) Math.min(UNSIGNED_BYTE_MAX, responseCounts[i]));
        }
        buffer.putShort(toUnsignedShort(congestion * FACTOR_SCALE));
        buffer.putShort(toUnsignedShort(idleLimitMicros / MICROS_PER_MILLI));
        return buffer.array();
    }

    private static short toUnsignedShort(double value) {
        return (short) Math.min(UNSIGNED_SHORT_MAX, Math.round(value));
    }

    /**
     * Decodes a message; returns false and leaves the fields unchanged if the tag or the length is wrong.
     */
    boolean decode(byte[] message) {
        if (message.length != encodedLength() || message[0] != MESSAGE_TAG) {
            return false;
        }
        ByteBuffer buffer = ByteBuffer.wrap(message).position(Byte.BYTES);
        for (int i = 0; i < zoneRates.length; i++) {
            zoneRates[i] = Short.toUnsignedInt(buffer.getShort()) / RATE_SCALE;
        }
        for (int i = 0; i < serviceTimeFactors.length; i++) {
            serviceTimeFactors[i] = Short.toUnsignedInt(buffer.getShort()) / FACTOR_SCALE;
            responseCounts[i] = Byte.toUnsignedInt(buffer.get());
        }
        congestion = Short.toUnsignedInt(buffer.getShort()) / FACTOR_SCALE;
        idleLimitMicros = Short.toUnsignedInt(buffer.getShort()) * 1000L;
        return true;
    }
}
