package loadbalancer.consensus;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ContentStoreTest {
    private static final Outbox DISCARD = (to, message) -> {};

    private final ContentStore source = new ContentStore(content -> null);
    private final ContentStore target = new ContentStore(content -> content[0] == 'x' ? "starts with x" : null);

    private static byte[] content(int bytes, int seed) {
        byte[] content = new byte[bytes];
        new Random(seed).nextBytes(content);
        content[0] = 'a';
        return content;
    }

    /** Answers every request for chunks twice, in random order. */
    private void download(int maxRounds) {
        for (int round = 0; round < maxRounds && target.isDownloading(); round++) {
            List<Message> chunks = new ArrayList<>();
            requests().forEach(request -> source.receive(1, request, (to, chunk) -> chunks.add(chunk)));
            chunks.addAll(List.copyOf(chunks));
            Collections.shuffle(chunks, new Random(round));
            chunks.forEach(chunk -> target.receive(0, chunk, DISCARD));
        }
    }

    private List<Message> requests() {
        List<Message> requests = new ArrayList<>();
        target.requestChunks(0, false, (to, request) -> requests.add(request));
        return requests;
    }

    @ParameterizedTest
    @ValueSource(
            ints = {1, ContentStore.CHUNK_BYTES, ContentStore.CHUNK_BYTES + 1, 5_000, ContentStore.MAX_CONTENT_BYTES})
    void downloadedContentIsTheOneThatTheVersionIdentifies(int bytes) {
        // given
        byte[] content = content(bytes, bytes);
        long version = source.put(content).orElseThrow();
        assertFalse(target.hasOrDownload(version));
        // when
        download(200);
        // then
        assertTrue(target.hasOrDownload(version));
        assertArrayEquals(content, target.get(version).orElseThrow());
    }

    @Test
    void chunksOfAnotherContentAreDiscardedAndDoNotPreventTheDownload() {
        // given
        byte[] content = content(500, 1);
        long version = source.put(content).orElseThrow();
        assertFalse(target.hasOrDownload(version));
        // when
        for (int index = 0; index < 3; index++) {
            target.receive(0, new Message.Chunk(version, index, 500, new byte[index < 2 ? 200 : 100]), DISCARD);
        }
        // then
        assertEquals(Optional.empty(), target.get(version));
        // when
        for (Message.Chunk malformed : new Message.Chunk[] {
            new Message.Chunk(version, 9, 500, new byte[200]),
            new Message.Chunk(version, 0, 1 << 30, new byte[200]),
            new Message.Chunk(version, -1, 500, new byte[200]),
            new Message.Chunk(version, 0, 500, new byte[7]),
            new Message.Chunk(version, 0, -5, new byte[0])
        }) {
            target.receive(0, malformed, DISCARD);
        }
        download(10);
        // then
        assertArrayEquals(content, target.get(version).orElseThrow());
    }

    @Test
    void rejectedContentIsNotDownloadedAgain() {
        // given
        byte[] content = content(300, 2);
        content[0] = 'x';
        long version = source.put(content).orElseThrow();
        assertFalse(target.hasOrDownload(version));
        // when
        download(10);
        // then
        assertFalse(target.hasOrDownload(version));
        assertEquals(Optional.of("starts with x"), target.rejectionReason(version));
        assertFalse(target.isDownloading());
    }

    @Test
    void cachedContentsAndDownloadsAreBounded() {
        // given
        List<Long> versions = new ArrayList<>();
        // when
        for (int seed = 0; seed < 50; seed++) {
            versions.add(source.put(content(300, seed)).orElseThrow());
            target.hasOrDownload(versions.get(seed));
        }
        // then
        long cached = versions.stream()
                .filter(version -> source.get(version).isPresent())
                .count();
        assertEquals(ContentStore.MAX_CACHED, cached);
        assertEquals(ContentStore.MAX_DOWNLOADS, requests().size());
        assertEquals(OptionalLong.empty(), source.put(new byte[ContentStore.MAX_CONTENT_BYTES + 1]));
    }
}
