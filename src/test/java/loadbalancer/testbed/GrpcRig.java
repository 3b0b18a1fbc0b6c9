package loadbalancer.testbed;

import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.ServerCallHandler;
import io.grpc.Status;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** The real grpc-java as the peer, with messages that are texts: nothing here understands only itself. */
public final class GrpcRig {
    private GrpcRig() {}

    private static final MethodDescriptor.Marshaller<String> TEXT = new MethodDescriptor.Marshaller<>() {
        @Override
        public InputStream stream(String value) {
            return new ByteArrayInputStream(value.getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public String parse(InputStream stream) {
            try {
                return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
            } catch (IOException exception) {
                throw new IllegalStateException(exception);
            }
        }
    };

    public static MethodDescriptor<String, String> method(String name, MethodDescriptor.MethodType type) {
        return MethodDescriptor.<String, String>newBuilder(TEXT, TEXT)
                .setType(type)
                .setFullMethodName(name)
                .build();
    }

    public static ManagedChannel channel(InetSocketAddress to) {
        return NettyChannelBuilder.forAddress(to).usePlaintext().disableRetry().build();
    }

    /** One call and what its client is told, in order. */
    public static final class Call {
        public final ClientCall<String, String> call;
        final BlockingQueue<String> messages = new LinkedBlockingQueue<>();
        private final BlockingQueue<Object[]> closed = new LinkedBlockingQueue<>();
        final List<Metadata> heads = new ArrayList<>();

        public Call(
                ManagedChannel channel,
                MethodDescriptor<String, String> method,
                Metadata head,
                long deadlineMs,
                int ask) {
            call = channel.newCall(
                    method,
                    deadlineMs == 0
                            ? CallOptions.DEFAULT
                            : CallOptions.DEFAULT.withDeadlineAfter(deadlineMs, TimeUnit.MILLISECONDS));
            call.start(
                    new ClientCall.Listener<>() {
                        @Override
                        public void onHeaders(Metadata headers) {
                            heads.add(headers);
                        }

                        @Override
                        public void onMessage(String message) {
                            messages.add(message);
                        }

                        @Override
                        public void onClose(Status status, Metadata trailers) {
                            closed.add(new Object[] {status, trailers});
                        }
                    },
                    head);
            call.request(ask);
        }

        public static Call unary(ManagedChannel channel, String name, String key, String message, long deadlineMs) {
            Metadata head = new Metadata();
            if (key != null) {
                head.put(Metadata.Key.of("idempotency-key", Metadata.ASCII_STRING_MARSHALLER), key);
            }
            Call c = new Call(channel, method(name, MethodDescriptor.MethodType.UNARY), head, deadlineMs, 2);
            c.call.sendMessage(message);
            c.call.halfClose();
            return c;
        }

        private Object[] end;

        public Status status() throws InterruptedException {
            end = end == null ? closed.poll(20, TimeUnit.SECONDS) : end;
            if (end == null) {
                throw new AssertionError("the call never ended");
            }
            return (Status) end[0];
        }

        public String trailer(String name) throws InterruptedException {
            status();
            return ((Metadata) end[1]).get(Metadata.Key.of(name, Metadata.ASCII_STRING_MARSHALLER));
        }

        public String next() throws InterruptedException {
            String m = messages.poll(20, TimeUnit.SECONDS);
            if (m == null) {
                Object[] ended = closed.peek();
                throw new AssertionError("no message came; the call "
                        + (ended == null ? "is open" : "ended with " + ended[0] + ", trailers " + ended[1]));
            }
            return m;
        }
    }

    /** A node of grpc-java's own. */
    public static io.grpc.Server node(
            List<MethodDescriptor<String, String>> methods, ServerCallHandler<String, String> handler)
            throws IOException {
        io.grpc.ServerServiceDefinition.Builder service = io.grpc.ServerServiceDefinition.builder("stage.Booking");
        methods.forEach(m -> service.addMethod(m, handler));
        return io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder.forAddress(new InetSocketAddress("127.0.0.1", 0))
                .directExecutor()
                .addService(service.build())
                .build()
                .start();
    }
}
