package loadbalancer.admin;

/** Handles operators' requests to one kind of process. */
public interface AdminRequestHandler {
    /** Handles a request and responds now or later. Called on the event loop, which it must not block. */
    void handle(AdminRequest request, AdminResponder responder);
}
