package loadbalancer.handover;

import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.json.JsonException;
import loadbalancer.json.JsonObject;
import loadbalancer.membership.OutOfServiceUpstreams;
import loadbalancer.storage.ChecksummedFormat;
import loadbalancer.storage.StoredFileException;

/**
 * The state that the processes of an upgrade share, stored in the state file as JSON in a {@link ChecksummedFormat}.
 *
 * @param sidecar      name of the sidecar; files of other sidecars are rejected
 * @param outOfService upstreams that operators took out of service
 */
record HandoverState(String sidecar, OutOfServiceUpstreams.Snapshot outOfService) {
    /** Largest state file that is read. The upstreams of a full endpoint list need less. */
    static final int MAX_BYTES = 4 * 1024 * 1024;

    private static final ChecksummedFormat FORMAT = ChecksummedFormat.plain("bridgecleat-handover", "a handover", 1);
    private static final String SIDECAR = "sidecar";
    private static final String OUT_OF_SERVICE = "out";
    private static final String RETURNED = "back";

    byte[] encode() {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put(SIDECAR, sidecar);
        json.put(OUT_OF_SERVICE, outOfService.outOfService());
        json.put(RETURNED, outOfService.returned());
        return FORMAT.encode(0, JsonObject.write(json));
    }

    /**
     * Decodes the content of a state file.
     *
     * @throws StoredFileException if the file is torn, damaged, of another sidecar or of another version
     */
    static HandoverState decode(byte[] file, String sidecar) throws StoredFileException {
        byte[] body = FORMAT.decode(file).body();
        try {
            JsonObject json = JsonObject.parse(body);
            String owner = json.string(SIDECAR);
            if (!owner.equals(sidecar)) {
                throw new StoredFileException("it belongs to the sidecar '" + owner + "'");
            }
            return new HandoverState(
                    sidecar,
                    new OutOfServiceUpstreams.Snapshot(
                            timesById(json.object(OUT_OF_SERVICE)), timesById(json.object(RETURNED))));
        } catch (JsonException exception) {
            throw new StoredFileException("its content is invalid: " + exception.getMessage());
        }
    }

    /** Unix times in microseconds by upstream id. */
    private static Map<String, Long> timesById(JsonObject json) {
        Map<String, Long> times = new LinkedHashMap<>();
        for (String id : json.fieldNames()) {
            times.put(id, json.integer(id));
        }
        return times;
    }
}
