package loadbalancer.http1;

/** Framing rules stricter than Netty's, for requests and responses, which reject ambiguous messages. */
final class Framing {
    private Framing() {}

    /**
     * The error for a Content-Length together with a Transfer-Encoding (RFC 9112, 6.1). Netty would ignore the length,
     * so a body could hide a message, or end elsewhere than the sender meant.
     */
    static IllegalArgumentException ambiguousLength() {
        return new IllegalArgumentException("message has both Content-Length and Transfer-Encoding");
    }

    /**
     * Requires that a header line has a name directly followed by a colon, which Netty does not require.
     *
     * @throws IllegalArgumentException if it has none
     */
    static void requireHeaderName(byte[] line, int start, int length) {
        if (length == 0 || start + length >= line.length || line[start + length] != ':') {
            throw new IllegalArgumentException("header line does not start with a name and a colon");
        }
    }
}
