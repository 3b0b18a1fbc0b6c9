package rushproxy.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import rushproxy.core.Clock;
import rushproxy.http1.Upstreams.Call;

/**
 * The body of a large request on its way to an upstream while it comes. Its beginning is held, and can be sent to another upstream as
 * long as nothing behind it has been passed on; from then on only the attempt that has it can carry the rest. The client is read no
 * faster than the upstream takes it.
 */
final class Upload {
    private final Clock clock;
    /** Tells its client's connection to look whether it should read on. */
    private final Runnable steer;
    /** Bytes in all; -1 where only the end tells. */
    private final long length;
    private final ArrayDeque<ByteBuf> held = new ArrayDeque<>();
    private boolean whole;
    private long wholeAtUs;
    private boolean gone;
    private boolean discarded;
    private Call to;
    private Channel out;
    private long movedUs;

    Upload(Clock clock, long length, ByteBuf beginning, Runnable steer) {
        this.clock = clock;
        this.length = length;
        this.steer = steer;
        held.add(beginning);
        movedUs = clock.now();
    }

    /** The next piece has come; it is taken over. */
    void add(ByteBuf piece, boolean last) {
        movedUs = clock.now();
        if (last) {
            whole = true;
            wholeAtUs = movedUs;
        }
        if (discarded) {
            piece.release();
        } else if (out == null) {
            held.add(piece);
        } else {
            letGo();
            out.write(new DefaultHttpContent(piece));
            if (last) {
                end(to, out);
            } else {
                out.flush();
            }
        }
    }

    /** Whether its client should be read: there is an upstream that takes it, or nobody wants it any more. */
    boolean wants() {
        return discarded || out != null && out.isWritable();
    }

    boolean whole() {
        return whole;
    }

    long wholeAtUs() {
        return wholeAtUs;
    }

    /** When something of it last came or went, or an upstream was found for it. */
    long movedUs() {
        return movedUs;
    }

    /** Whether an attempt could still carry all of it. */
    boolean canStart() {
        return !gone && (whole || to == null);
    }

    /** Sends the head and what is held; the rest follows as it comes. Not unless it {@link #canStart}. */
    void start(Call call, Channel channel, HttpRequest like) {
        HttpRequest head = new DefaultHttpRequest(like.protocolVersion(), like.method(), like.uri(), like.headers());
        if (length >= 0) {
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else {
            head.headers().remove(HttpHeaderNames.CONTENT_LENGTH).set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        movedUs = clock.now();
        channel.write(head);
        held.forEach(piece -> channel.write(new DefaultHttpContent(piece.retainedDuplicate())));
        if (whole) {
            end(call, channel);
        } else {
            to = call;
            out = channel;
            channel.flush();
            steer.run();
        }
    }

    private static void end(Call call, Channel channel) {
        // One that can't be written closes its connection, which ends the call.
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(f -> {
            if (f.isSuccess()) {
                call.wrote();
            }
        });
    }

    /** The upstream has room again. */
    void goOn() {
        movedUs = clock.now();
        steer.run();
    }

    /** The attempt is over. */
    void left(Call call) {
        if (to == call) {
            to = null;
            out = null;
            steer.run();
        }
    }

    /** Nobody needs it any more: what still comes is read and thrown away. */
    void discard() {
        discarded = true;
        letGo();
    }

    /** Its client has gone, or says no more: what is out can never become whole. */
    void abort() {
        discard();
        if (to != null && !whole) {
            to.cancel();
        }
    }

    private void letGo() {
        gone = true;
        for (ByteBuf b; (b = held.poll()) != null; ) {
            b.release();
        }
    }
}
