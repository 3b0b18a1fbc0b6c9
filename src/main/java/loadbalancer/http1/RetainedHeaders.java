package loadbalancer.http1;

import io.netty.handler.codec.DefaultHeaders.NameValidator;
import io.netty.handler.codec.DefaultHeaders.ValueValidator;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.util.AsciiString;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

/**
 * The header fields of a received message that the sidecar uses. All fields are validated, and others than those named
 * are dropped as they are decoded, because a field of a few bytes occupies a hundred bytes of heap or more.
 */
final class RetainedHeaders extends DefaultHttpHeaders {
    /** Limit on retained fields. Beyond it the message is malformed, as a repeated framing field must not be dropped. */
    private static final int MAX_FIELDS = 32;

    private static final List<AsciiString> FRAMING = List.of(
            HttpHeaderNames.CONTENT_LENGTH,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.CONNECTION,
            HttpHeaderNames.UPGRADE,
            HttpHeaderNames.SEC_WEBSOCKET_ACCEPT,
            HttpHeaderNames.SEC_WEBSOCKET_KEY1,
            HttpHeaderNames.SEC_WEBSOCKET_KEY2,
            HttpHeaderNames.SEC_WEBSOCKET_LOCATION,
            HttpHeaderNames.SEC_WEBSOCKET_ORIGIN);

    private static final NameValidator<CharSequence> NAME_VALIDATOR =
            DefaultHttpHeadersFactory.headersFactory().getNameValidator();
    private static final ValueValidator<CharSequence> VALUE_VALIDATOR =
            DefaultHttpHeadersFactory.headersFactory().getValueValidator();

    private final RetainedNames names;
    private int fields;

    private RetainedHeaders(RetainedNames names) {
        super(NAME_VALIDATOR, VALUE_VALIDATOR);
        this.names = names;
    }

    /** Creates headers that retain the framing fields and those with these names. */
    static HttpHeadersFactory factory(AsciiString... names) {
        List<AsciiString> retained =
                Stream.concat(FRAMING.stream(), Arrays.stream(names)).toList();
        return factory(retained);
    }

    /** Creates trailers, which are all dropped. */
    static HttpHeadersFactory noTrailers() {
        return factory(List.of());
    }

    private static HttpHeadersFactory factory(List<AsciiString> retained) {
        RetainedNames names = new RetainedNames(retained);
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new RetainedHeaders(names);
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return new RetainedHeaders(names);
            }
        };
    }

    /**
     * Adds or drops a field of the message.
     *
     * @throws IllegalArgumentException if the field is invalid, or is one too many
     */
    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        if (!names.contains(name)) {
            NAME_VALIDATOR.validateName(name);
            VALUE_VALIDATOR.validate((CharSequence) value);
            return this;
        }
        if (++fields > MAX_FIELDS) {
            throw new IllegalArgumentException("more than " + MAX_FIELDS + " header fields with meaning");
        }
        return super.add(name, value);
    }

    /** A set of names, which mostly rules out a name by its length, because heads may have very many fields. */
    private static final class RetainedNames {
        private static final int MAX_LENGTH = Long.SIZE - 1;

        private final AsciiString[] names;
        /** Bit n is set if a name has the length n. */
        private final long lengths;

        RetainedNames(List<AsciiString> names) {
            this.names = names.toArray(AsciiString[]::new);
            lengths = names.stream().mapToLong(name -> 1L << name.length()).reduce(0, (a, b) -> a | b);
        }

        boolean contains(CharSequence name) {
            if (name.length() > MAX_LENGTH || (lengths >>> name.length() & 1) == 0) {
                return false;
            }
            for (AsciiString retained : names) {
                if (retained.contentEqualsIgnoreCase(name)) {
                    return true;
                }
            }
            return false;
        }
    }
}
