/**
 * Assembles one sidecar: reads its configuration, starts its parts on one event loop, which owns all of them, warms up,
 * follows reloads (SIGHUP), and shuts down gracefully (SIGTERM). {@link loadbalancer.sidecar.SidecarMain} is the entry
 * point of the process. {@link loadbalancer.sidecar.Engine} holds the parts that use neither sockets nor files; the
 * simulation runs it too.
 */
package loadbalancer.sidecar;
