/**
 * Agreement on the configuration version that every process of a group decides by: a single Paxos register whose value
 * moves through joint and settled stages, leases on it for members and subscribers, and recovery of voters without
 * stable storage. Also contains a simulation on virtual time and a state-space explorer, both of which run the same
 * classes. The package does no I/O, starts no threads, and takes the time as a parameter.
 */
package loadbalancer.consensus;
