package rushproxy.sidecar;

import java.util.Map;
import sun.misc.Signal;

/**
 * Rereads the configuration on SIGHUP, which would end the program if nobody handled it: so from the first line on,
 * also before there is a sidecar to tell. The file is read on the signal's own thread; the loop only gets the result.
 */
final class Reload {
    private final Map<String, String> environment;
    private Sidecar sidecar;
    private boolean wanted;

    Reload(Map<String, String> environment) {
        this.environment = environment;
        Signal.handle(new Signal("HUP"), signal -> asked());
    }

    private synchronized void asked() {
        wanted = true;
        go();
    }

    synchronized void serving(Sidecar started) {
        sidecar = started;
        go();
    }

    /** A file that can't be used changes nothing: what the sidecar has still works. */
    private void go() {
        if (sidecar == null || !wanted) {
            return;
        }
        wanted = false;
        try {
            sidecar.reconfigure(Config.readAgain(environment));
        } catch (Config.Broken e) {
            Log.line("goes on as before: " + e.getMessage());
        }
    }
}
