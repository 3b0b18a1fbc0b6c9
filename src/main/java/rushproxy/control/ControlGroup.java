package rushproxy.control;

import rushproxy.consensus.ConsensusGroup;

/**
 * What all processes of a control tier must have alike.
 *
 * @param fleet    tells this tier's datagrams from those of others
 * @param scopes   services whose configuration is agreed on, by their numbers from 0 on; at most {@link #MOST_SCOPES}
 * @param voters   the first so many replicas vote: 1, 3, 5 or 7
 * @param replicas by their numbers from 0 on; sidecars have the numbers behind them
 * @param leaseUs  how long a replica that hears nothing goes by what it heard, in us
 * @param subscriberLeaseUs how long a sidecar does, in us: shorter, so that one that is away delays a change by no more
 */
public record ControlGroup(int fleet, int scopes, int voters, int replicas, long leaseUs, long subscriberLeaseUs) {
    public static final int MOST_SCOPES = 1_024;

    public ControlGroup {
        if (scopes < 1 || scopes > MOST_SCOPES) {
            throw new IllegalArgumentException(scopes + " scopes, expected 1 to " + MOST_SCOPES);
        }
        if (subscriberLeaseUs <= 0 || subscriberLeaseUs > leaseUs) {
            throw new IllegalArgumentException(
                    "a lease of " + subscriberLeaseUs + " us for subscribers, expected 1 to " + leaseUs);
        }
    }

    /** The register of one scope. Its messages are no other scope's, even where a number on the way was changed. */
    ConsensusGroup register(int scope) {
        // Odd, so that the product differs for each scope (Knuth, The Art of Computer Programming 3, 6.4).
        int multiplier = 0x9e3779b1;
        return new ConsensusGroup(fleet + scope * multiplier, voters, replicas, leaseUs, subscriberLeaseUs);
    }
}
