/**
 * Assembles one sidecar: reads its configuration, starts its parts on one event loop, which owns all of them, warms up,
 * follows reloads (SIGHUP), and shuts down gracefully (SIGTERM). {@link loadbalancer.sidecar.SidecarMain} is the
 * process, {@link loadbalancer.sidecar.Engine} all of a sidecar that is neither sockets nor files, which the simulation
 * runs too.
 */
package loadbalancer.sidecar;
