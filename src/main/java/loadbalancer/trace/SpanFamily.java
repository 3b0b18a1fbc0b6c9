package loadbalancer.trace;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The last try of each keyed request, for as long as its client may try again under a new id, so that both come into one
 * trace. Bounded in number and time: the oldest makes room. Pure.
 */
final class SpanFamily {
    private record RememberedTrace(Trace trace, long startMicros) {}

    private final int maxTraces;
    private final long windowMicros;
    private final LinkedHashMap<String, RememberedTrace> tracesByKey = new LinkedHashMap<>();

    SpanFamily(int most, long windowMicros) {
        this.maxTraces = most;
        this.windowMicros = windowMicros;
    }

    /** The try before this one; null where there is none that is young enough. */
    Trace previous(long nowMicros, String key) {
        evictExpired(nowMicros);
        RememberedTrace remembered = tracesByKey.get(key);
        return remembered == null ? null : remembered.trace;
    }

    /** This one is the last from now on. */
    void remember(long nowMicros, String key, Trace trace) {
        tracesByKey.remove(key);
        if (maxTraces > 0) {
            tracesByKey.put(key, new RememberedTrace(trace, nowMicros));
        }
        evictExpired(nowMicros);
    }

    private void evictExpired(long nowMicros) {
        for (Iterator<Map.Entry<String, RememberedTrace>> i =
                        tracesByKey.entrySet().iterator();
                i.hasNext(); ) {
            RememberedTrace eldest = i.next().getValue();
            if (tracesByKey.size() <= maxTraces && nowMicros - eldest.startMicros < windowMicros) {
                return;
            }
            i.remove();
        }
    }

    int size() {
        return tracesByKey.size();
    }
}
