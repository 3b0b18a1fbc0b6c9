package rushproxy.operator;

import java.nio.file.Path;
import rushproxy.membership.Trust;

/**
 * What the operator's file says, one part for each subsystem; a part that is null is off.
 *
 * @param membership how lists are judged; null where they are taken as they are
 */
public record Operator(MembershipOptions membership) {
    /** Without a file: nothing is on that the platform has not asked for. */
    public static final Operator NONE = new Operator(null);

    public Trust trust() {
        return membership == null ? Trust.BLIND : membership.trust();
    }

    /**
     * @param spreadUs the first call to discovery waits a random part of this, so that a fleet does not rush it
     * @param disk     null where no list is kept
     */
    public record MembershipOptions(Trust trust, long spreadUs, DiskOptions disk) {}

    /**
     * @param fleet     a list of another fleet is not taken
     * @param refreshUs an unchanged list is written again this often, to say that it still holds
     */
    public record DiskOptions(Path folder, String fleet, int writesPerMinute, long refreshUs, int largestBytes) {}
}
