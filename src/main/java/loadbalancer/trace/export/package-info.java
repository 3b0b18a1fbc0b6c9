/** Exports sampled traces as OTLP: a bounded buffer and a thread for each receiver, a rotated file or a collector over HTTP. */
package loadbalancer.trace.export;
