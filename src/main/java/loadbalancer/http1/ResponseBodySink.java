package loadbalancer.http1;

import io.netty.buffer.ByteBuf;

/** Receives a streamed response body. {@link #begin} comes first, {@link #complete} or {@link #abort} last. */
interface ResponseBodySink {
    /** Starts a response whose body has this length, -1 if unknown. */
    void begin(UpstreamConnection upstream, long lengthBytes);

    /** Writes a piece and takes ownership of it. */
    void write(ByteBuf piece);

    /** Flushes the written pieces. */
    void flush();

    /** Whether more is accepted now. If not, {@link UpstreamConnection#resumeReading} is called when it is. */
    boolean isWritable();

    /** Ends the response, whose body is complete. */
    void complete();

    /** Ends an incomplete response so that the client notices the truncation. */
    void abort();
}
