package loadbalancer.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.core.Clock;
import org.junit.jupiter.api.Test;

/** What is held of an upload while it waits for an upstream. */
class RequestBodyForwarderTest {
    /** Limit on what is held without an upstream. */
    private static final int MAX_WAITING_BYTES = 1024 * 1024;
    /** Fewer than one for each 8 KiB. */
    private static final int MAX_MESSAGES = 128;

    private final AtomicInteger exceeded = new AtomicInteger();
    private final BufferBudget budget = new BufferBudget(exceeded::incrementAndGet);
    private final RequestBodyForwarder body =
            new RequestBodyForwarder(new Clock(), budget, -1, Unpooled.copiedBuffer(new byte[1]), () -> {});

    /** Guards against an upload in chunks of one byte filling the heap, with a buffer and a message for each. */
    @Test
    void chunksOfOneByteAreHeldInFewBuffers() {
        for (int held = 1; held < MAX_WAITING_BYTES; held++) {
            assertTrue(body.wantsMore());
            body.add(Unpooled.wrappedBuffer(new byte[] {(byte) held}), false, 0);
        }
        assertFalse(body.wantsMore());
        EmbeddedChannel upstream = new EmbeddedChannel();
        body.start(null, upstream, new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/api"));
        assertTrue(
                upstream.outboundMessages().size() <= MAX_MESSAGES,
                upstream.outboundMessages().size() + " messages");
        upstream.readOutbound();
        int at = 0;
        for (HttpContent part; (part = upstream.readOutbound()) != null; part.release()) {
            while (part.content().isReadable()) {
                assertEquals((byte) at++, part.content().readByte());
            }
        }
        assertEquals(MAX_WAITING_BYTES, at);
        body.discard();
    }
}
