package loadbalancer.admin;

import static java.net.HttpURLConnection.HTTP_CONFLICT;
import static java.net.HttpURLConnection.HTTP_NOT_FOUND;
import static java.net.HttpURLConnection.HTTP_OK;
import static java.net.HttpURLConnection.HTTP_UNAVAILABLE;

import java.util.Map;
import java.util.Optional;

/** Handles operators' requests to a sidecar. */
public final class SidecarRequestHandler implements AdminRequestHandler {
    private final SidecarControl control;

    /** @param control the operations that the requests call */
    public SidecarRequestHandler(SidecarControl control) {
        this.control = control;
    }

    @Override
    public void handle(AdminRequest request, AdminResponder responder) {
        if (request instanceof AdminRequest.Ready) {
            boolean ready = control.isReady();
            responder.respond(ready ? HTTP_OK : HTTP_UNAVAILABLE, ready ? "ready" : "not ready");
        } else if (request instanceof AdminRequest.Counters) {
            responder.respond(HTTP_OK, control.counters());
        } else if (request instanceof AdminRequest.Offline offline) {
            setOffline(offline.upstreamId(), true, responder);
        } else if (request instanceof AdminRequest.Online online) {
            setOffline(online.upstreamId(), false, responder);
        } else if (request instanceof AdminRequest.OutOfService) {
            setOutOfService(true, responder);
        } else if (request instanceof AdminRequest.InService) {
            setOutOfService(false, responder);
        } else if (request instanceof AdminRequest.Policy
                || request instanceof AdminRequest.Propose
                || request instanceof AdminRequest.Abort) {
            handlePolicy(request, responder);
        } else if (request instanceof AdminRequest.Unrecognized unrecognized) {
            responder.respond(unrecognized.status(), unrecognized.reason());
        } else {
            responder.respond(HTTP_NOT_FOUND, "a sidecar has no such call: ask a control replica");
        }
    }

    private void handlePolicy(AdminRequest request, AdminResponder responder) {
        Optional<Map<String, Object>> policy = control.policy();
        if (policy.isEmpty()) {
            responder.respond(
                    HTTP_NOT_FOUND,
                    "no change of policy is decided in common here: see [consensus] in the operator's file");
        } else if (request instanceof AdminRequest.Propose) {
            control.propose(rejection -> respondWith(rejection, "proposed", responder));
        } else if (request instanceof AdminRequest.Abort) {
            control.abort(rejection -> respondWith(rejection, "done", responder));
        } else {
            responder.respond(HTTP_OK, policy.get());
        }
    }

    private static void respondWith(String rejection, String accepted, AdminResponder responder) {
        if (rejection == null) {
            responder.respond(HTTP_OK, accepted);
        } else {
            responder.respond(HTTP_CONFLICT, rejection);
        }
    }

    private void setOffline(String upstreamId, boolean offline, AdminResponder responder) {
        control.setOffline(
                upstreamId,
                offline,
                known -> responder.respond(known ? HTTP_OK : HTTP_NOT_FOUND, known ? "done" : "no such upstream"));
    }

    private void setOutOfService(boolean outOfService, AdminResponder responder) {
        control.setOutOfService(outOfService);
        responder.respond(HTTP_OK, "done");
    }
}
