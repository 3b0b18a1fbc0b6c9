package loadbalancer.trace;

/**
 * Consistent probability sampling as OpenTelemetry has it (its specification, "TraceState: Probability Sampling"): a trace
 * has 56 bits of randomness, the same at each hop, and is chosen where they are no less than a threshold. So hops that choose
 * with different probabilities choose the same traces, as far as they go.
 */
final class Randomness {
    static final int BITS = 56;
    private static final long RANGE = 1L << BITS;

    private Randomness() {}

    /** Of a trace: what its state says, else the last seven bytes of its id. */
    static long ofTrace(long low, String state) {
        String explicitRandomness = state.isEmpty() ? null : TraceState.field(state, "rv");
        return explicitRandomness != null
                        && explicitRandomness.length() == BITS / 4
                        && SpanContext.isLowerHex(explicitRandomness, 0, explicitRandomness.length())
                ? SpanContext.parseHex(explicitRandomness, 0, explicitRandomness.length())
                : low & RANGE - 1;
    }

    /** What a trace's randomness must reach to be chosen with this probability; {@link Long#MAX_VALUE} for never. */
    static long threshold(double probability) {
        return probability <= 0 ? Long.MAX_VALUE : probability >= 1 ? 0 : Math.round((1 - probability) * RANGE);
    }

    static double probability(long threshold) {
        return threshold >= RANGE ? 0 : 1 - (double) threshold / RANGE;
    }

    /** As it is written in {@code th}: hexadecimal digits without the zeros at the end. */
    static String format(long threshold) {
        StringBuilder digits = new StringBuilder();
        SpanContext.appendHex(digits, threshold, BITS / 4);
        int length = digits.length();
        while (length > 1 && digits.charAt(length - 1) == '0') {
            length--;
        }
        return digits.substring(0, length);
    }
}
