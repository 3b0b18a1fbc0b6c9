package loadbalancer.grpc.mapping;

import java.util.Map;
import java.util.regex.Pattern;

/**
 * Which route a call takes, by its path {@code /service/method}. A name for the whole service is looked up after the method's.
 *
 * @param byName  by {@code service/method} or {@code service}
 * @param unknown for all others
 */
public record Routes(Map<String, Route> byName, Route unknown) {
    private static final Pattern PATH = Pattern.compile("/([A-Za-z0-9_.]{1,200})/([A-Za-z0-9_]{1,200})");

    public Routes {
        byName = Map.copyOf(byName);
    }

    /** Null where the path is none of a call. */
    public Route of(CharSequence path) {
        if (path == null || !PATH.matcher(path).matches()) {
            return null;
        }
        String name = path.toString().substring(1);
        Route route = byName.get(name);
        if (route == null) {
            route = byName.get(name.substring(0, name.indexOf('/')));
        }
        return route == null ? unknown : route;
    }
}
