package loadbalancer.consensus;

/**
 * A request to lead a change.
 *
 * @param requester member that asked for the change, and is notified if the version is rejected
 * @param version version to activate; {@link Stage#NO_VERSION} to only complete a change that another leader left
 *     unfinished
 * @param abort whether an unfinished change is rolled back instead of completed
 */
record ChangeRequest(int requester, long version, boolean abort) {}
