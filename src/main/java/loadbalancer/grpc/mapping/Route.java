package loadbalancer.grpc.mapping;

/**
 * How calls of one method are taken.
 *
 * @param requestClass its class in the platform's settings
 * @param streams      messages may go on in either direction: the first response byte that goes to the client ends all retries
 * @param keyHeader    the metadata key that carries the idempotency key; only for keyed classes, else null
 */
public record Route(String requestClass, boolean streams, String keyHeader) {}
