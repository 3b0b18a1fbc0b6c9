package loadbalancer.operator;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.control.ControlGroup;
import loadbalancer.core.Addresses;
import loadbalancer.toml.ConfigurationException;
import loadbalancer.toml.ConfigurationTable;

/**
 * Options that replicas and subscribers of a control tier share: the keys of the table {@code [control]} that occur in
 * the files of both.
 *
 * @param group    the control group, with the scopes of this process
 * @param replicas addresses of the replicas, indexed by replica number
 */
public record ControlTier(ControlGroup group, List<InetSocketAddress> replicas) {
    /** Limits the size of the tier; a majority of a few replicas is enough. */
    private static final int MAX_REPLICAS = 31;

    /**
     * Reads {@code fleet}, {@code replicas}, {@code voters}, {@code lease} and {@code subscriber_lease}.
     *
     * @throws ConfigurationException if the value of one of them is invalid
     */
    public static ControlTier read(ConfigurationTable table, List<String> scopes) throws ConfigurationException {
        List<InetSocketAddress> replicas = addresses(table);
        int voters = table.integer("voters", 5, 1, 7);
        if (voters % 2 == 0 || voters > replicas.size()) {
            throw table.invalid("voters", "an odd number of at most the " + replicas.size() + " replicas");
        }
        long leaseMicros = table.durationMicros("lease", "2s", "500ms", "1min");
        long subscriberLeaseMicros = table.durationMicros("subscriber_lease", "1200ms", "200ms", "1min");
        if (subscriberLeaseMicros > leaseMicros) {
            throw table.invalid("subscriber_lease", "a duration no longer than the lease");
        }
        String fleet = table.string("fleet", null);
        return new ControlTier(
                new ControlGroup(fleet, scopes, voters, replicas.size(), leaseMicros, subscriberLeaseMicros), replicas);
    }

    private static List<InetSocketAddress> addresses(ConfigurationTable table) throws ConfigurationException {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String text : table.strings("replicas")) {
            try {
                addresses.add(Addresses.parse(text));
            } catch (IllegalArgumentException exception) {
                throw table.invalid("replicas", "addresses such as \"127.0.0.1:7301\"");
            }
        }
        boolean distinct = addresses.stream().distinct().count() == addresses.size();
        if (addresses.isEmpty() || addresses.size() > MAX_REPLICAS || !distinct) {
            throw table.invalid("replicas", "1 to " + MAX_REPLICAS + " addresses, each once");
        }
        return addresses;
    }
}
