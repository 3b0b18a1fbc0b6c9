package loadbalancer.sidecar;

import java.util.Map;
import loadbalancer.core.Log;
import loadbalancer.toml.ConfigurationException;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Rereads the configuration and the operator's file on SIGHUP. Registered before anything else, because an unhandled
 * SIGHUP ends the process; a signal that arrives before the sidecar has started is handled once it has. Files are read
 * on the signal's thread; the event loop only gets the result.
 */
final class Reload {
    private final Map<String, String> environment;
    private final SidecarMain.OperatorConfigurationReader operatorFile;
    private Sidecar sidecar;
    private SidecarConfig activeConfig;
    private boolean requested;

    Reload(Map<String, String> environment, SidecarMain.OperatorConfigurationReader operatorFile) {
        this.environment = environment;
        this.operatorFile = operatorFile;
        // nohup makes the process and its children ignore the signal, and then the runtime can't handle it.
        if (Signal.handle(new Signal("HUP"), signal -> onSignal()) == SignalHandler.SIG_IGN) {
            Log.event("reload.deaf", "SIGHUP is ignored by whoever started this: a new configuration will not be seen");
        }
    }

    private synchronized void onSignal() {
        requested = true;
        reloadIfRequested();
    }

    synchronized void sidecarStarted(Sidecar started, SidecarConfig config) {
        sidecar = started;
        activeConfig = config;
        reloadIfRequested();
    }

    /** Applies the files only if both are valid; otherwise the active configuration stays. */
    private void reloadIfRequested() {
        if (sidecar == null || !requested) {
            return;
        }
        requested = false;
        try {
            SidecarConfig newConfig = SidecarConfig.reread(environment);
            newConfig.requireKeysOf(activeConfig);
            sidecar.reconfigure(newConfig, operatorFile.read());
            activeConfig = newConfig;
        } catch (SidecarConfig.InvalidConfigException | ConfigurationException | RuntimeException exception) {
            sidecar.reloadRejected();
            Log.event("reload.refused", "goes on as before: " + exception.getMessage(), "why", exception.getMessage());
        }
    }
}
