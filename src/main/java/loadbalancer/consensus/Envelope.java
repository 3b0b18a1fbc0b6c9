package loadbalancer.consensus;

/** A message in transit between two processes, by their numbers. */
record Envelope(int from, int to, Message message) {}
