package loadbalancer.toml;

import java.util.Map;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Formats of whole numbers with a unit, such as {@code "250ms"} or {@code "4MiB"}. */
enum UnitFormat {
    /** Durations; parsed to microseconds. */
    DURATION_MICROS(
            "([0-9]{1,9})(ms|s|min|h|d)",
            Map.of("ms", 1_000L, "s", 1_000_000L, "min", 60_000_000L, "h", 3_600_000_000L, "d", 86_400_000_000L)),
    /** Sizes; parsed to bytes. */
    SIZE_BYTES("([0-9]{1,9})(B|KiB|MiB)", Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20));

    private final Pattern pattern;
    private final Map<String, Long> factors;

    UnitFormat(String pattern, Map<String, Long> factors) {
        this.pattern = Pattern.compile(pattern);
        this.factors = factors;
    }

    /** Parses {@code text}; empty if it is not of this format. */
    OptionalLong parse(String text) {
        Matcher matcher = pattern.matcher(text);
        return matcher.matches()
                ? OptionalLong.of(Long.parseLong(matcher.group(1)) * factors.get(matcher.group(2)))
                : OptionalLong.empty();
    }

    /** Parses {@code text}; empty if it is not of this format or out of bounds. The bounds are of this format too. */
    OptionalLong parseWithin(String text, String minimum, String maximum) {
        OptionalLong parsed = parse(text);
        boolean within = parsed.isPresent()
                && parsed.getAsLong() >= parse(minimum).orElseThrow()
                && parsed.getAsLong() <= parse(maximum).orElseThrow();
        return within ? parsed : OptionalLong.empty();
    }
}
