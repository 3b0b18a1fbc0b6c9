package loadbalancer.testbed;

import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A node whose HTTP/2 frames a test cuts itself, as no library writes pieces of any size. One call at a time. */
public final class RawHttp2Node implements AutoCloseable {
    private static final int PREFACE_BYTES = 24;
    /** Window of a connection, and of its streams until the settings of the peer name another size. */
    private static final int DEFAULT_WINDOW_BYTES = 65_535;

    private static final int SETTING_BYTES = 6;
    /** Fields of the static table (RFC 7541): {@code :status 200}, and the name {@code content-type}. */
    private static final int STATUS_200 = 0x88;

    private static final int CONTENT_TYPE_NAME = 0x0f;
    private static final int CONTENT_TYPE_INDEX = 31 - 15;

    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    private final byte[] answer;
    private final int pieceBytes;

    /** Answers each call with this gRPC message, in DATA frames of this size or, if the windows have less room, smaller ones. */
    public RawHttp2Node(byte[] message, int pieceBytes) throws IOException {
        this.pieceBytes = pieceBytes;
        answer = framed(message);
        start(this::accept);
    }

    /** A message behind its flag and length. */
    public static byte[] framed(byte[] message) {
        return java.nio.ByteBuffer.allocate(5 + message.length)
                .put((byte) 0)
                .putInt(message.length)
                .put(message)
                .array();
    }

    /** The port on loopback. */
    public int port() {
        return server.getLocalPort();
    }

    private static void start(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Peer peer = new Peer(server.accept());
                start(peer::serve);
            }
        } catch (IOException exception) {
            // The node was closed.
        }
    }

    /** One connection: a thread reads its frames, another one writes the answer, as far as the windows allow. */
    private final class Peer {
        private final DataInputStream in;
        private final DataOutputStream out;
        private int initialStreamWindow = DEFAULT_WINDOW_BYTES;
        private long connectionWindow = DEFAULT_WINDOW_BYTES;
        private long streamWindow;

        private Peer(Socket socket) throws IOException {
            socket.setTcpNoDelay(true);
            in = new DataInputStream(socket.getInputStream());
            out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream(), 1 << 16));
        }

        private void serve() {
            try {
                in.readNBytes(PREFACE_BYTES);
                write(RawHttp2Client.SETTINGS, 0, 0, new byte[0], 0, 0);
                flush();
                while (true) {
                    readFrame();
                }
            } catch (IOException exception) {
                // The sidecar closed the connection.
            }
        }

        private void readFrame() throws IOException {
            int length = in.readUnsignedByte() << 16 | in.readUnsignedShort();
            int type = in.readUnsignedByte();
            int flags = in.readUnsignedByte();
            int stream = in.readInt();
            byte[] payload = in.readNBytes(length);
            boolean endsStream = (flags & RawHttp2Client.END_STREAM) != 0;
            if (type == RawHttp2Client.SETTINGS) {
                readSettings(java.nio.ByteBuffer.wrap(payload));
            }
            if (type == RawHttp2Client.SETTINGS && !endsStream || type == RawHttp2Client.PING && !endsStream) {
                write(type, RawHttp2Client.ACK, 0, payload, 0, type == RawHttp2Client.PING ? length : 0);
                flush();
            } else if (type == RawHttp2Client.WINDOW_UPDATE) {
                open(stream, java.nio.ByteBuffer.wrap(payload).getInt());
            } else if (type == RawHttp2Client.DATA && length > 0) {
                byte[] read = java.nio.ByteBuffer.allocate(4).putInt(length).array();
                write(RawHttp2Client.WINDOW_UPDATE, 0, 0, read, 0, read.length);
                flush();
            }
            if (endsStream && (type == RawHttp2Client.HEADERS || type == RawHttp2Client.DATA)) {
                start(() -> answer(stream));
            }
        }

        private synchronized void readSettings(java.nio.ByteBuffer settings) {
            while (settings.remaining() >= SETTING_BYTES) {
                boolean isInitialWindow = settings.getShort() == RawHttp2Client.SETTINGS_INITIAL_WINDOW_SIZE;
                int value = settings.getInt();
                initialStreamWindow = isInitialWindow ? value : initialStreamWindow;
            }
        }

        private synchronized void open(int stream, int bytes) {
            connectionWindow += stream == 0 ? bytes : 0;
            streamWindow += stream == 0 ? 0 : bytes;
            notifyAll();
        }

        private synchronized void answer(int stream) {
            try {
                streamWindow = initialStreamWindow;
                byte[] type = "application/grpc".getBytes();
                byte[] head = new byte[4 + type.length];
                head[0] = (byte) STATUS_200;
                head[1] = CONTENT_TYPE_NAME;
                head[2] = CONTENT_TYPE_INDEX;
                head[3] = (byte) type.length;
                System.arraycopy(type, 0, head, 4, type.length);
                write(RawHttp2Client.HEADERS, RawHttp2Client.END_HEADERS, stream, head, 0, head.length);
                for (int at = 0; at < answer.length; at += pieceBytes) {
                    writePiece(stream, at, Math.min(pieceBytes, answer.length - at));
                }
                byte[] trailers = "\0\13grpc-status\1".getBytes();
                byte[] ok = java.util.Arrays.copyOf(trailers, trailers.length + 1);
                ok[trailers.length] = '0';
                write(
                        RawHttp2Client.HEADERS,
                        RawHttp2Client.END_HEADERS | RawHttp2Client.END_STREAM,
                        stream,
                        ok,
                        0,
                        ok.length);
                flush();
            } catch (IOException | InterruptedException exception) {
                // The sidecar closed the connection.
            }
        }

        /** Writes a piece in one frame, or in more if the windows have less room. */
        private synchronized void writePiece(int stream, int at, int size) throws IOException, InterruptedException {
            for (int written = 0; written < size; ) {
                int length = (int) Math.min(size - written, Math.min(connectionWindow, streamWindow));
                if (length <= 0) {
                    flush();
                    wait();
                    continue;
                }
                connectionWindow -= length;
                streamWindow -= length;
                write(RawHttp2Client.DATA, 0, stream, answer, at + written, length);
                written += length;
            }
        }

        private synchronized void flush() throws IOException {
            out.flush();
        }

        private synchronized void write(int type, int flags, int stream, byte[] payload, int from, int length)
                throws IOException {
            out.write(
                    new byte[] {(byte) (length >> 16), (byte) (length >> 8), (byte) length, (byte) type, (byte) flags});
            out.writeInt(stream);
            out.write(payload, from, length);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
