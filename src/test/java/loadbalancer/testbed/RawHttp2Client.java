package loadbalancer.testbed;

import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A connection whose HTTP/2 frames a test writes and reads itself, as no library sends or withholds them. */
public final class RawHttp2Client implements AutoCloseable {
    public static final int DATA = 0;
    public static final int HEADERS = 1;
    public static final int RST_STREAM = 3;
    public static final int SETTINGS = 4;
    public static final int PING = 6;
    public static final int GOAWAY = 7;
    public static final int WINDOW_UPDATE = 8;
    public static final int CONTINUATION = 9;
    /** Flag of SETTINGS and PING. */
    public static final int ACK = 1;
    /** Flag of HEADERS and DATA. */
    public static final int END_STREAM = 1;
    /** Flag of HEADERS and CONTINUATION. */
    public static final int END_HEADERS = 4;

    private static final int TIMEOUT_MILLIS = 20_000;
    static final int SETTINGS_INITIAL_WINDOW_SIZE = 4;

    final Socket socket;
    final DataOutputStream out;
    private final DataInputStream in;

    /** One frame that the server sent. */
    public record Frame(int type, int flags, int stream, byte[] payload) {
        /** Whether it ends this stream. */
        public boolean ends(int wanted) {
            boolean carriesFlag = type == HEADERS || type == DATA;
            return stream == wanted && (type == RST_STREAM || carriesFlag && (flags & END_STREAM) != 0);
        }
    }

    /** Connects and writes the preface, which {@link #flush} sends. */
    public RawHttp2Client(InetSocketAddress to) throws IOException {
        this(to, new Socket());
    }

    /** As the other constructor, with a socket whose options are set. */
    public RawHttp2Client(InetSocketAddress to, Socket socket) throws IOException {
        this.socket = socket;
        socket.connect(to);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream(), 1 << 16));
        in = new DataInputStream(socket.getInputStream());
        out.write("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        frame(SETTINGS, 0, 0);
    }

    /** Opens the flow-control windows of the connection and of its later streams by this many bytes. */
    public void openWindows(int bytes) throws IOException {
        byte[] size = {(byte) (bytes >> 24), (byte) (bytes >> 16), (byte) (bytes >> 8), (byte) bytes};
        frame(SETTINGS, 0, 0, 0, SETTINGS_INITIAL_WINDOW_SIZE, size[0], size[1], size[2], size[3]);
        frame(WINDOW_UPDATE, 0, 0, size[0], size[1], size[2], size[3]);
    }

    /** Opens the windows of the connection and of one stream by this many bytes, and sends that. */
    public void openWindow(int stream, int bytes) throws IOException {
        byte[] size = {(byte) (bytes >> 24), (byte) (bytes >> 16), (byte) (bytes >> 8), (byte) bytes};
        frame(WINDOW_UPDATE, 0, 0, size[0], size[1], size[2], size[3]);
        frame(WINDOW_UPDATE, 0, stream, size[0], size[1], size[2], size[3]);
        flush();
    }

    /** Writes a frame. */
    public void frame(int type, int flags, int stream, int... payload) throws IOException {
        out.write(new byte[] {
            (byte) (payload.length >> 16),
            (byte) (payload.length >> 8),
            (byte) payload.length,
            (byte) type,
            (byte) flags
        });
        out.writeInt(stream);
        for (int b : payload) {
            out.write(b);
        }
    }

    /** Sends a unary call with an empty message. */
    public RawHttp2Client call(int stream, String path) throws IOException {
        frame(HEADERS, END_HEADERS, stream, head(path));
        frame(DATA, END_STREAM, stream, 0, 0, 0, 0, 0);
        return flush();
    }

    public RawHttp2Client flush() throws IOException {
        out.flush();
        return this;
    }

    /** Reads the next frame, and acknowledges a PING. */
    public Frame read() throws IOException {
        int length = in.readUnsignedByte() << 16 | in.readUnsignedShort();
        int type = in.readUnsignedByte();
        int flags = in.readUnsignedByte();
        Frame frame = new Frame(type, flags, in.readInt(), in.readNBytes(length));
        if (type == PING && (flags & ACK) == 0) {
            int[] echoed = new int[length];
            for (int i = 0; i < length; i++) {
                echoed[i] = frame.payload[i];
            }
            frame(PING, ACK, 0, echoed);
            flush();
        }
        return frame;
    }

    /** Reads to the end of a stream, and returns the bytes of its DATA frames. */
    public byte[] response(int stream) throws IOException {
        ByteArrayOutputStream data = new ByteArrayOutputStream();
        for (Frame frame; !(frame = read()).ends(stream); ) {
            if (frame.type == DATA && frame.stream == stream) {
                data.writeBytes(frame.payload);
            }
        }
        return data.toByteArray();
    }

    /** The header block of a POST with what gRPC needs, in literals without an index. */
    public static int[] head(String path) {
        ByteArrayOutputStream block = new ByteArrayOutputStream();
        block.write(0x83);
        block.write(0x86);
        literal(block, ":path", path);
        literal(block, ":authority", "a");
        literal(block, "content-type", "application/grpc");
        literal(block, "te", "trailers");
        byte[] bytes = block.toByteArray();
        int[] ints = new int[bytes.length];
        for (int i = 0; i < bytes.length; i++) {
            ints[i] = bytes[i] & 0xff;
        }
        return ints;
    }

    private static void literal(ByteArrayOutputStream block, String name, String value) {
        block.write(0);
        for (String s : new String[] {name, value}) {
            block.write(s.length());
            block.writeBytes(s.getBytes(StandardCharsets.US_ASCII));
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
