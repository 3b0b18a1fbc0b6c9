package loadbalancer.membership.disk;

import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.json.JsonObject;
import loadbalancer.membership.EndpointList;
import loadbalancer.membership.ListSource;
import loadbalancer.membership.discovery.DiscoveryListFormat;
import loadbalancer.storage.ChecksummedFormat;
import loadbalancer.storage.StoredFileException;

/**
 * An endpoint list file: discovery's JSON format with fleet and time added, in a {@link ChecksummedFormat}.
 *
 * @param sequence number of the list among those that a sidecar has written
 */
public record EndpointListFile(long sequence, EndpointList list) {
    private static final ChecksummedFormat FORMAT = ChecksummedFormat.numbered("bridgecleat-list", "a list", 1);
    private static final String FLEET = "fleet";
    private static final String AS_OF_MILLIS = "asOfMs";

    /**
     * Reads a list from a file's bytes.
     *
     * @throws StoredFileException if the file is truncated, damaged, of another fleet or of another version
     * @throws IllegalArgumentException if its JSON is not an endpoint list
     */
    public static EndpointListFile decode(byte[] file, String fleet) throws StoredFileException {
        ChecksummedFormat.Contents contents = FORMAT.decode(file);
        JsonObject json = JsonObject.parse(contents.body());
        String owner = json.string(FLEET);
        if (!owner.equals(fleet)) {
            throw new StoredFileException("the file belongs to the fleet '" + owner + "', not to '" + fleet + "'");
        }
        long asOfMicros = json.integer(AS_OF_MILLIS) * 1000;
        return new EndpointListFile(contents.sequence(), DiscoveryListFormat.read(json, ListSource.DISK, asOfMicros));
    }

    /** Returns the bytes of the file, for sidecars of {@code fleet}. */
    public byte[] encode(String fleet) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put(FLEET, fleet);
        json.put(AS_OF_MILLIS, list.asOfMicros() / 1000);
        json.putAll(DiscoveryListFormat.writeComplete(list));
        return FORMAT.encode(sequence, JsonObject.write(json));
    }
}
