package loadbalancer.trace;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Sees to it that a kind of trouble which comes seldom is not lost among one that comes often: of each kind a few are kept in
 * every window, beside all rates. The table is bounded; in it the kind that was seen longest ago makes room, but none whose
 * window still runs, so that a flood of kinds does not lift the bound: a table has kinds x few at most in a window. Pure.
 */
final class RareTraceSampler {
    private static final class FaultKindWindow {
        long startMicros;
        int sampledCount;
    }

    private final int maxPerKind;
    private final int maxKinds;
    private final long windowMicros;
    private final LinkedHashMap<String, FaultKindWindow> windowsByKind = new LinkedHashMap<>(64, 0.75f, true);

    RareTraceSampler(int few, int kinds, long windowMicros) {
        this.maxPerKind = few;
        this.maxKinds = kinds;
        this.windowMicros = windowMicros;
    }

    /** Whether this one is among the few of its kind. */
    boolean tryAcquire(long nowMicros, String kind) {
        FaultKindWindow window = windowsByKind.get(kind);
        if (window == null) {
            if (windowsByKind.size() >= maxKinds) {
                Map.Entry<String, FaultKindWindow> eldest =
                        windowsByKind.entrySet().iterator().next();
                if (nowMicros - eldest.getValue().startMicros < windowMicros) {
                    return false;
                }
                windowsByKind.remove(eldest.getKey());
            }
            window = new FaultKindWindow();
            window.startMicros = nowMicros;
            windowsByKind.put(kind, window);
        }
        if (nowMicros - window.startMicros >= windowMicros) {
            window.startMicros = nowMicros;
            window.sampledCount = 0;
        }
        if (window.sampledCount >= maxPerKind) {
            return false;
        }
        window.sampledCount++;
        return true;
    }

    int size() {
        return windowsByKind.size();
    }
}
