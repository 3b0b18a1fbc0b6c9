package loadbalancer.balancing;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.stored.StoredSamples;
import org.junit.jupiter.api.Test;

/**
 * Tests the encoding of gossip messages (request rates, service-time factors, congestion and idle limit)
 * against a stored message.
 */
class StoredRateGossipTest {
    private static final String SAMPLE = "gossip-measurements";

    @Test
    void encodesAndDecodesTheStoredMessage() {
        RateGossip sent = new RateGossip(3, 2);
        sent.zoneRates[0] = 12.5;
        sent.zoneRates[1] = 0;
        sent.zoneRates[2] = 9_999;
        sent.serviceTimeFactors[0] = 1;
        sent.serviceTimeFactors[1] = 3.75;
        sent.responseCounts[0] = 17;
        sent.responseCounts[1] = 1_000;
        sent.congestion = 1.5;
        sent.idleLimitMicros = 15_000_000;
        StoredSamples.assertSent(SAMPLE, sent.encode());

        RateGossip decoded = new RateGossip(3, 2);
        assertTrue(decoded.decode(StoredSamples.message(SAMPLE)));
        assertArrayEquals(new double[] {12.5, 0, 655.35}, decoded.zoneRates);
        assertArrayEquals(new double[] {1, 3.75}, decoded.serviceTimeFactors);
        assertArrayEquals(new int[] {17, 255}, decoded.responseCounts);
        assertEquals(1.5, decoded.congestion);
        assertEquals(15_000_000, decoded.idleLimitMicros);
    }
}
