/**
 * The operator's file, which turns on and configures the optional subsystems. A subsystem whose table is missing is
 * off. Keys and error messages are stable.
 */
package loadbalancer.operator;
