package rushproxy.accord;

import java.util.Arrays;
import java.util.List;

/** What sidecars say to each other to agree. Any of it may be lost, late, doubled or out of order. All but those of coming back carry the era. */
sealed interface Word {
    // ---- leading: Paxos (Lamport, Paxos Made Simple, 2001), one register whose stages follow each other ----

    record Prepare(long era, long ballot) implements Word {}

    /** @param lives what the voter knows of all voters' lives, its own among them; {@code known}: its stage is chosen, not only accepted */
    record Promise(long era, long ballot, List<Life> lives, long acceptedBallot, Stage accepted, boolean known)
            implements Word {}

    record Accept(long era, long ballot, Stage stage) implements Word {}

    record Accepted(long era, long ballot, long index, List<Life> lives) implements Word {}

    /** A higher ballot has been promised. */
    record Refused(long era, long ballot, long promised) implements Word {}

    /** A majority has accepted it: it never changes any more. */
    record Chosen(long era, long ballot, Stage stage) implements Word {}

    /** Its sidecar decides by nothing before this stage from now on. */
    record Taken(long era, long index) implements Word {}

    /** A sidecar without a vote asks one with: bring this version about, or take back what is open. */
    record Propose(long version, boolean abort) implements Word {}

    // ---- what versions say ----

    /** Pieces of it from this one on, please. */
    record Want(long version, int piece) implements Word {}

    /** @param of bytes in all */
    record Piece(long version, int piece, int of, byte[] bytes) implements Word {
        @Override
        public boolean equals(Object o) {
            return o instanceof Piece p
                    && p.version == version
                    && p.piece == piece
                    && p.of == of
                    && Arrays.equals(p.bytes, bytes);
        }

        @Override
        public int hashCode() {
            return Arrays.hashCode(bytes) * 31 + piece;
        }
    }

    /** A leader wants to bring this version about: who has read it and can take it says so. */
    record Staged(long era, long version) implements Word {}

    record Fit(long era, long version) implements Word {}

    /** It can't be taken here, and so nowhere. */
    record Unfit(long version, String why) implements Word {}

    // ---- leases ----

    record Ask(int nonce) implements Word {}

    record Answer(long era, int nonce, long acceptedBallot, Stage accepted, boolean known) implements Word {}

    // ---- coming back ----

    /** A process that remembers nothing asks which life of its voter was known last. */
    record Back(int nonce) implements Word {}

    record Seen(int nonce, int count) implements Word {}

    /** It remembers nothing either. */
    record Blank(int nonce, int own) implements Word {}

    record Rejoin(Life life) implements Word {}

    record State(long era, Life of, List<Life> lives, long promised, long acceptedBallot, Stage accepted, boolean known)
            implements Word {}

    /** All were blank at once: nobody remembers anything that could be broken. Those are their nonces, by number. */
    record Together(List<Integer> nonces) implements Word {}

    record Agreed(List<Integer> nonces) implements Word {}

    /** To one of them that has not heard from all: so it was, and its sender goes on from there. */
    record Begun(List<Integer> nonces) implements Word {}
}
