/**
 * Reads the platform's settings and load reports. A sidecar's settings come from its configuration file, those of the
 * simulator from its wire protocol; both are flattened to path=value pairs.
 */
package loadbalancer.settings;
