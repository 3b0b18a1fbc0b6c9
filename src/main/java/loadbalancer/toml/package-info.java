/**
 * Strict reader of TOML files: every value is checked against its bounds, every unknown key is an error, and each error
 * names file, line and key. The operator's file, control files and scenario files are read with this package.
 */
package loadbalancer.toml;
