package rushproxy.sidecar;

import java.util.Map;
import java.util.function.Consumer;
import rushproxy.admin.Control;
import rushproxy.core.Log;

/** Carries out what operators ask of this process. On the loop. */
final class Operations implements Control {
    private final Sidecar sidecar;

    Operations(Sidecar sidecar) {
        this.sidecar = sidecar;
    }

    @Override
    public boolean ready() {
        return sidecar.clients().ready();
    }

    @Override
    public Map<String, Object> counters() {
        return sidecar.engine().counters();
    }

    @Override
    public void upstream(String id, boolean out, Consumer<Boolean> known) {
        known.accept(sidecar.engine().members().byHand(id, out));
    }

    @Override
    public void service(boolean out) {
        sidecar.clients().service(out);
        Log.event(out ? "service.out" : "service.in", out ? "out of service: clients are asked to leave" : "back in service");
    }
}
