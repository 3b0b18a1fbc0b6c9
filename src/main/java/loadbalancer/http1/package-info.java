/**
 * HTTP/1.1 on both sides of a sidecar. {@link loadbalancer.http1.HttpServer} accepts the application's connections,
 * each of which is a {@link loadbalancer.http1.ClientConnection}. {@link loadbalancer.http1.Upstreams} pools
 * connections to upstreams and makes attempts and health checks on them. Framing is stricter than Netty's: ambiguous
 * messages (RFC 9112) are rejected. Small bodies are buffered; large ones are streamed in both directions, with
 * backpressure. Everything runs on the sidecar's single event loop.
 */
package loadbalancer.http1;
