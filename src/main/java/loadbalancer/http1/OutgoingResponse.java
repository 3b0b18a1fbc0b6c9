package loadbalancer.http1;

import io.netty.channel.ChannelFuture;

/**
 * The response that a client connection is sending: one that is streamed from an upstream, or one that is complete and
 * on its way to the kernel.
 */
final class OutgoingResponse {
    /** Runs when the response is with the kernel, or given up. */
    private final Runnable onDelivered;
    /** The upstream connection whose response is being streamed; null if there is none. */
    private UpstreamConnection streamingUpstream;
    /** The last response's write until it is with the kernel, since a close would truncate it; null otherwise. */
    private ChannelFuture lastWrite;

    OutgoingResponse(Runnable onDelivered) {
        this.onDelivered = onDelivered;
    }

    /** Sets the upstream connection whose response is streamed from now on; null at the end of the stream. */
    void streamFrom(UpstreamConnection upstream) {
        streamingUpstream = upstream;
    }

    /** Reads on from the upstream whose response is being streamed. Returns whether there is one. */
    boolean resumeStream() {
        if (streamingUpstream != null) {
            streamingUpstream.resumeReading();
        }
        return streamingUpstream != null;
    }

    /** Cancels a stream, as its client has disconnected. */
    void clientLeft() {
        if (streamingUpstream != null) {
            streamingUpstream.clientLeft();
        }
    }

    /** Records that the end of a response was written to the channel. */
    void written(ChannelFuture written) {
        lastWrite = written;
        written.addListener(f -> {
            if (lastWrite == written) {
                delivered();
            }
        });
    }

    /** Gives up the response, as its client does not read it. */
    void abandon() {
        if (streamingUpstream != null) {
            streamingUpstream.clientLeft();
        } else {
            delivered();
        }
    }

    private void delivered() {
        lastWrite = null;
        onDelivered.run();
    }

    /** Whether the last response is complete, but not with the kernel yet. */
    boolean isWriting() {
        return lastWrite != null;
    }

    /** Whether a part of a response may not be with the kernel yet. */
    boolean isSending() {
        return streamingUpstream != null || isWriting();
    }
}
