/** Reads JSON (RFC 8259) objects field by field, with errors that name the field, and writes maps as JSON. */
package loadbalancer.json;
