package loadbalancer.sidecar;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import loadbalancer.admin.SidecarControl;
import loadbalancer.core.Log;
import loadbalancer.operator.OperatorConfiguration;

/** Carries out operators' calls. Event loop only. */
final class OperatorActions implements SidecarControl {
    private final Sidecar sidecar;
    private final Handover handover;

    /** {@code handover} is null where operators' calls affect only this process. */
    OperatorActions(Sidecar sidecar, Handover handover) {
        this.sidecar = sidecar;
        this.handover = handover;
    }

    @Override
    public boolean isReady() {
        return sidecar.httpServer().isReady();
    }

    @Override
    public Map<String, Object> counters() {
        return sidecar.engine().counters();
    }

    @Override
    public void setOffline(String id, boolean out, Consumer<Boolean> known) {
        EndpointService endpoints = sidecar.engine().endpoints();
        if (!endpoints.setOutOfService(id, out)) {
            known.accept(false);
        } else if (handover == null) {
            known.accept(true);
        } else {
            // Responds only once the change is recorded, because an upgrade may begin right after the response.
            handover.recordOutOfService(id, out, snapshot -> known.accept(true));
        }
    }

    @Override
    public Optional<Map<String, Object>> policy() {
        return Optional.ofNullable(sidecar.engine().agreedConfiguration()).map(AgreedConfiguration::status);
    }

    /** Reads the policy file on a thread of its own, because the disk may be slow. */
    @Override
    public void propose(Consumer<String> result) {
        OperatorConfiguration operator = sidecar.configuration().operator();
        if (operator.control() != null) {
            result.accept(sidecar.engine().agreedConfiguration().propose(new byte[0]));
            return;
        }
        if (operator.consensus() == null) {
            result.accept("there is no policy file any more: the operator's file has lost [consensus]");
            return;
        }
        Path file = operator.consensus().file();
        new Thread(() -> proposeContent(file, result), "policy-file").start();
    }

    private void proposeContent(Path file, Consumer<String> result) {
        try {
            byte[] content = Files.readAllBytes(file);
            sidecar.loop()
                    .execute(() ->
                            result.accept(sidecar.engine().agreedConfiguration().propose(content)));
        } catch (IOException exception) {
            sidecar.loop().execute(() -> result.accept(file + ": can't be read: " + exception));
        }
    }

    @Override
    public void abort(Consumer<String> result) {
        result.accept(sidecar.engine().agreedConfiguration().abort());
    }

    @Override
    public void setOutOfService(boolean out) {
        sidecar.httpServer().setOutOfService(out);
        Log.event(
                out ? "service.out" : "service.in",
                out ? "out of service: clients are asked to close their connections" : "back in service");
    }
}
