/** The HTTP interface for operators: parses requests and passes them to a sidecar or a control replica. */
package loadbalancer.admin;
