/** The framing of files that outlive a process, by which readers detect torn files and other formats or versions. */
package loadbalancer.storage;
