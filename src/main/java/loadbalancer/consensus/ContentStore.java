package loadbalancer.consensus;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;

/**
 * Caches and downloads the contents of versions. A version is the first 64 bits of its content's SHA-256, so it
 * identifies one content, and chunks from any source either make up that content or are discarded. Holds at most
 * {@link #MAX_CACHED} contents and {@link #MAX_DOWNLOADS} running downloads, each of at most {@link #MAX_CONTENT_BYTES}
 * bytes. Does no I/O and reads no clock.
 */
final class ContentStore {
    static final int MAX_CONTENT_BYTES = 16 * 1024;
    static final int MAX_CACHED = 8;
    static final int MAX_DOWNLOADS = 4;
    /** Small enough for a chunk to fit a datagram. */
    static final int CHUNK_BYTES = 200;

    private static final int CHUNKS_PER_REQUEST = 4;
    private static final int NO_ANNOUNCER = -1;

    private final Function<byte[], String> validator;
    /** Least recently used first. */
    private final Map<Long, byte[]> cached = new LinkedHashMap<>();

    private final Map<Long, Download> downloads = new LinkedHashMap<>();
    /** The validator's reason for each rejected version. */
    private final Map<Long, String> rejections = new LinkedHashMap<>();

    /** @param validator returns why this process can't apply a content, or null if it can */
    ContentStore(Function<byte[], String> validator) {
        this.validator = validator;
    }

    /** Returns the version that identifies a content; never {@link Stage#NO_VERSION}. */
    static long versionOf(byte[] content) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(content);
            long version = ByteBuffer.wrap(hash).getLong();
            return version == Stage.NO_VERSION ? 1 : version;
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java platform has to provide it", exception);
        }
    }

    /** Adds a content and returns its version; empty if it is too long or invalid, see {@link #rejectionReason}. */
    OptionalLong put(byte[] content) {
        long version = versionOf(content);
        String reason = content.length > MAX_CONTENT_BYTES
                ? "it has " + content.length + " bytes, " + MAX_CONTENT_BYTES + " at the most"
                : validator.apply(content);
        downloads.remove(version);
        if (reason != null) {
            rejections.put(version, reason);
            evictOldest(rejections);
            return OptionalLong.empty();
        }
        rejections.remove(version);
        cached.remove(version);
        cached.put(version, content);
        evictOldest(cached);
        return OptionalLong.of(version);
    }

    private static void evictOldest(Map<Long, ?> map) {
        Iterator<Long> oldest = map.keySet().iterator();
        while (map.size() > MAX_CACHED && oldest.hasNext()) {
            oldest.next();
            oldest.remove();
        }
    }

    /** Returns the content of a version, if it is cached, and marks it as recently used. */
    Optional<byte[]> get(long version) {
        byte[] content = cached.remove(version);
        if (content != null) {
            cached.put(version, content);
        }
        return Optional.ofNullable(content);
    }

    /** Returns why a version was rejected, if it was. */
    Optional<String> rejectionReason(long version) {
        return Optional.ofNullable(rejections.get(version));
    }

    /**
     * Whether a version's content is cached. If not, starts its download unless the version was rejected or too many
     * downloads are running. Always true for {@link Stage#NO_VERSION}, which has no content.
     */
    boolean hasOrDownload(long version) {
        if (version == Stage.NO_VERSION || get(version).isPresent()) {
            return true;
        }
        if (!rejections.containsKey(version) && downloads.size() < MAX_DOWNLOADS) {
            downloads.putIfAbsent(version, new Download());
        }
        return false;
    }

    boolean isDownloading() {
        return !downloads.isEmpty();
    }

    /** Records that a process has announced a version, and so has the content or will have it soon. */
    void recordAnnouncement(long version, int announcer) {
        if (!hasOrDownload(version) && downloads.containsKey(version)) {
            downloads.get(version).announcer = announcer;
        }
    }

    /**
     * Requests missing chunks of every download from the process that announced it.
     *
     * @param alternative process that is asked if no process has announced the version, or if {@code preferAlternative}
     */
    void requestChunks(int alternative, boolean preferAlternative, Outbox outbox) {
        downloads.forEach((version, download) -> {
            boolean unannounced = download.announcer == NO_ANNOUNCER;
            int source = unannounced || preferAlternative ? alternative : download.announcer;
            outbox.send(source, new Message.ChunkRequest(version, download.received.nextClearBit(0)));
        });
    }

    /** Answers a request for chunks, or stores a received chunk. Other messages are ignored. */
    void receive(int from, Message message, Outbox outbox) {
        if (message instanceof Message.ChunkRequest request) {
            sendChunks(from, request, outbox);
        } else if (message instanceof Message.Chunk chunk) {
            onChunk(chunk);
        }
    }

    private void sendChunks(int to, Message.ChunkRequest request, Outbox outbox) {
        byte[] content = cached.get(request.version());
        int first = request.firstChunk();
        if (content == null || first < 0) {
            return;
        }
        for (int index = first; index < first + CHUNKS_PER_REQUEST && index < chunkCount(content.length); index++) {
            int end = Math.min(content.length, (index + 1) * CHUNK_BYTES);
            byte[] data = Arrays.copyOfRange(content, index * CHUNK_BYTES, end);
            outbox.send(to, new Message.Chunk(request.version(), index, content.length, data));
        }
    }

    private static int chunkCount(int contentBytes) {
        return Math.max(1, (contentBytes + CHUNK_BYTES - 1) / CHUNK_BYTES);
    }

    private void onChunk(Message.Chunk chunk) {
        Download download = downloads.get(chunk.version());
        if (download == null || !isWellFormed(chunk)) {
            return;
        }
        download.add(chunk);
        if (!download.isComplete()) {
            return;
        }
        if (versionOf(download.content) == chunk.version()) {
            put(download.content);
        } else {
            // At least one chunk belongs to another content, so all chunks are requested again.
            download.received.clear();
        }
    }

    private static boolean isWellFormed(Message.Chunk chunk) {
        int contentBytes = chunk.contentBytes();
        int index = chunk.chunkIndex();
        return contentBytes >= 0
                && contentBytes <= MAX_CONTENT_BYTES
                && index >= 0
                && index < chunkCount(contentBytes)
                && chunk.data().length == Math.min(CHUNK_BYTES, contentBytes - index * CHUNK_BYTES);
    }

    /** A content of which not all chunks have been received. */
    private static final class Download {
        private final BitSet received = new BitSet();
        private byte[] content = {};
        private int expectedChunks;
        private int announcer = NO_ANNOUNCER;

        void add(Message.Chunk chunk) {
            if (expectedChunks == 0 || content.length != chunk.contentBytes()) {
                content = new byte[chunk.contentBytes()];
                expectedChunks = chunkCount(chunk.contentBytes());
                received.clear();
            }
            byte[] data = chunk.data();
            System.arraycopy(data, 0, content, chunk.chunkIndex() * CHUNK_BYTES, data.length);
            received.set(chunk.chunkIndex());
        }

        boolean isComplete() {
            return received.cardinality() == expectedChunks;
        }
    }
}
