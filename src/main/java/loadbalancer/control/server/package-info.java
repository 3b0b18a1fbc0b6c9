/** The process of one replica of the control tier: configuration file, datagram socket, timers and admin server. */
package loadbalancer.control.server;
