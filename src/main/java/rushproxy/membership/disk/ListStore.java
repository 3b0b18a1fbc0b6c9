package rushproxy.membership.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;
import rushproxy.json.Json;
import rushproxy.membership.Listing;
import rushproxy.membership.Origin;
import rushproxy.membership.registry.RegistryList;

/**
 * A folder that holds the list of upstreams over a restart. Two files take turns, so that the one before is whole
 * whatever happens to the newest: each write goes to a temporary file, is forced to the disk and renamed over the older
 * of the two, and the folder is forced too. A file is one line with version, number, length and checksum, then the list
 * as JSON; the highest number whose checksum holds is read.
 *
 * <p>All methods do I/O: none belongs on the event loop. One sidecar writes a folder; another that is given the same one
 * reads it and leaves it alone.
 */
public final class ListStore implements AutoCloseable {
    private static final int VERSION = 1;
    private static final Pattern HEAD =
            Pattern.compile("bridgecleat-list ([0-9]{1,4}) number=([0-9]{1,18}) length=([0-9]{1,9}) crc32c=([0-9a-f]{8})");
    private static final int MAX_HEAD = 120;

    private final Path folder;
    private final String fleet;
    private final int maxFile;
    private FileChannel lockFile;
    private FileLock lock;
    /** Number of the last list read or written; the next takes the other file. */
    private long number;

    private record Read(long number, Listing list) {}

    /** {@code maxFile}: bytes that a list may have; ten thousand upstreams have 2 MiB. */
    public ListStore(Path folder, String fleet, int maxFile) {
        this.folder = folder;
        this.fleet = fleet;
        this.maxFile = maxFile;
    }

    /**
     * The newest whole list of this fleet, or null where there is none. Each file that can't be used is one note; a
     * folder that does not exist yet is none.
     */
    public Listing read(Consumer<String> notes) {
        Read best = null;
        for (int slot = 0; slot < 2; slot++) {
            Path file = slot(slot);
            try {
                Read found = parse(bytes(file));
                if (best == null || found.number > best.number) {
                    best = found;
                }
            } catch (NoSuchFileException e) {
                // Not written yet.
            } catch (IOException | RuntimeException e) {
                notes.accept("the list in " + file + " can't be used: " + reason(e));
            }
        }
        number = best == null ? number : Math.max(number, best.number);
        return best == null ? null : best.list;
    }

    private byte[] bytes(Path file) throws IOException {
        try (FileChannel in = FileChannel.open(file, StandardOpenOption.READ)) {
            if (in.size() > maxFile) {
                throw new IOException("it holds " + in.size() + " bytes, more than " + maxFile);
            }
            ByteBuffer all = ByteBuffer.allocate((int) in.size());
            while (all.hasRemaining() && in.read(all) >= 0) {
                // until all is there
            }
            return Arrays.copyOf(all.array(), all.position());
        }
    }

    private Read parse(byte[] file) throws IOException {
        int end = 0;
        while (end < Math.min(file.length, MAX_HEAD) && file[end] != '\n') {
            end++;
        }
        Matcher head = HEAD.matcher(new String(file, 0, end, StandardCharsets.US_ASCII));
        if (!head.matches() || end == file.length) {
            throw new IOException("its first line is not that of a list");
        }
        if (Integer.parseInt(head.group(1)) != VERSION) {
            throw new IOException("its version is " + head.group(1) + ", not " + VERSION);
        }
        byte[] body = Arrays.copyOfRange(file, end + 1, file.length);
        if (body.length != Integer.parseInt(head.group(3))) {
            throw new IOException("it is cut: " + body.length + " of " + head.group(3) + " bytes");
        }
        if (!crc(body).equals(head.group(4))) {
            throw new IOException("its checksum is wrong");
        }
        Json json = Json.parse(body);
        if (!json.text("fleet").equals(fleet)) {
            throw new IOException("it belongs to the fleet '" + json.text("fleet") + "', not to '" + fleet + "'");
        }
        return new Read(Long.parseLong(head.group(2)), RegistryList.read(json, Origin.DISK, json.number("asOfMs") * 1000));
    }

    /** Takes the folder for this sidecar, making it where there is none. An exception says who is in the way. */
    public void own() throws IOException {
        if (lock != null && lock.isValid() && Files.exists(lockPath())) {
            return;
        }
        close();
        Files.createDirectories(folder);
        lockFile = FileChannel.open(lockPath(), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            lock = lockFile.tryLock();
        } catch (OverlappingFileLockException e) {
            lock = null;
        }
        if (lock == null) {
            close();
            throw new IOException("another sidecar keeps its list in " + folder);
        }
        // What the other file holds decides which of the two is overwritten next.
        read(note -> { });
    }

    /** Writes the list to the file that is not the newest. Takes the folder first, and again if it vanished. */
    public void write(Listing list) throws IOException {
        own();
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("fleet", fleet);
        json.put("asOfMs", list.asOfUs() / 1000);
        json.put("generation", list.generation());
        json.put("reset", true);
        json.put("instances", list.members().stream().map(RegistryList::write).toList());
        byte[] body = Json.write(json);
        long next = number + 1;
        byte[] head = ("bridgecleat-list " + VERSION + " number=" + next + " length=" + body.length + " crc32c="
                + crc(body) + "\n").getBytes(StandardCharsets.US_ASCII);
        if (head.length + body.length > maxFile) {
            throw new IOException("a list of " + body.length + " bytes is too long to be kept");
        }
        Path temporary = folder.resolve("list.new");
        try (FileChannel out = FileChannel.open(temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            for (byte[] part : new byte[][] {head, body}) {
                ByteBuffer left = ByteBuffer.wrap(part);
                while (left.hasRemaining()) {
                    out.write(left);
                }
            }
            out.force(true);
        }
        Files.move(temporary, slot((int) (next % 2)), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
        number = next;
    }

    private Path slot(int slot) {
        return folder.resolve("list." + slot);
    }

    private Path lockPath() {
        return folder.resolve("list.lock");
    }

    private static String crc(byte[] body) {
        CRC32C crc = new CRC32C();
        crc.update(body);
        return String.format("%08x", crc.getValue());
    }

    static String reason(Exception e) {
        String text = e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
        return e instanceof java.nio.file.FileSystemException ? e.getClass().getSimpleName() + " " + text : text;
    }

    @Override
    public void close() throws IOException {
        lock = null;
        if (lockFile != null) {
            // Ends the lock too.
            lockFile.close();
            lockFile = null;
        }
    }
}
