package loadbalancer.control.server;

import static java.net.HttpURLConnection.HTTP_CONFLICT;
import static java.net.HttpURLConnection.HTTP_NOT_FOUND;
import static java.net.HttpURLConnection.HTTP_OK;
import static java.net.HttpURLConnection.HTTP_UNAVAILABLE;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.IntConsumer;
import loadbalancer.admin.AdminRequest;
import loadbalancer.admin.AdminRequestHandler;
import loadbalancer.admin.AdminResponder;
import loadbalancer.consensus.ActiveStage;
import loadbalancer.control.ControlReplica;

/** Handles operators' requests to a replica of the control tier. */
final class ControlRequestHandler implements AdminRequestHandler {
    private final ControlServer server;

    ControlRequestHandler(ControlServer server) {
        this.server = server;
    }

    @Override
    public void handle(AdminRequest request, AdminResponder responder) {
        if (request instanceof AdminRequest.Ready) {
            boolean ready = server.replica().isReady(server.nowMicros());
            responder.respond(ready ? HTTP_OK : HTTP_UNAVAILABLE, ready ? "ready" : "not ready");
        } else if (request instanceof AdminRequest.Scopes) {
            responder.respond(HTTP_OK, allScopes());
        } else if (request instanceof AdminRequest.Scope scope) {
            withScope(scope.name(), responder, index -> responder.respond(HTTP_OK, status(index)));
        } else if (request instanceof AdminRequest.ProposeScope scope) {
            withScope(scope.name(), responder, index -> propose(index, responder));
        } else if (request instanceof AdminRequest.AbortScope scope) {
            withScope(scope.name(), responder, index -> abort(index, responder));
        } else if (request instanceof AdminRequest.Unrecognized unrecognized) {
            responder.respond(unrecognized.status(), unrecognized.reason());
        } else {
            responder.respond(HTTP_NOT_FOUND, "a control replica has no such call: ask a sidecar");
        }
    }

    private void withScope(String name, AdminResponder responder, IntConsumer action) {
        int scope = server.scopes().indexOf(name);
        if (scope < 0) {
            responder.respond(HTTP_NOT_FOUND, "no such scope");
        } else {
            action.accept(scope);
        }
    }

    private void propose(int scope, AdminResponder responder) {
        server.propose(
                scope,
                rejection ->
                        responder.respond(rejection.isEmpty() ? HTTP_OK : HTTP_CONFLICT, rejection.orElse("proposed")));
    }

    private void abort(int scope, AdminResponder responder) {
        server.abort(scope);
        responder.respond(HTTP_OK, "done");
    }

    private Map<String, Object> allScopes() {
        Map<String, Object> versions = new LinkedHashMap<>();
        for (int scope = 0; scope < server.scopes().size(); scope++) {
            ActiveStage active = server.replica().activeStage(scope, server.nowMicros());
            String version = ControlServer.versionName(active.newVersion());
            versions.put(server.scopes().get(scope), active.leaseValid() ? version : version + ", not sure");
        }
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("votes", server.replica().canVote());
        json.put("subscribers", (long) server.subscribers());
        json.put("dropped", server.droppedDatagrams());
        json.put("scopes", versions);
        return json;
    }

    private Map<String, Object> status(int scope) {
        ControlReplica replica = server.replica();
        ActiveStage active = replica.activeStage(scope, server.nowMicros());
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("sure", active.leaseValid());
        json.put("index", active.index());
        json.put("version", ControlServer.versionName(active.newVersion()));
        json.put("from", ControlServer.versionName(active.oldVersion()));
        json.put("joint", active.isJoint());
        json.put("open", replica.isProposalPending(scope));
        json.put("refused", replica.rejectionReason(scope).orElse(""));
        json.put(
                "missing",
                replica.awaitedReplicas(scope).stream().mapToObj(Long::valueOf).toList());
        return json;
    }
}
