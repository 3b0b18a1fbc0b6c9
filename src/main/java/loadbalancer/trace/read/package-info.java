/** Reads span files back into requests for the command line: phases of their duration, causes of delay, a waterfall. */
package loadbalancer.trace.read;
