package rushproxy.accord;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Words as datagrams between sidecars carry them, at most 256 bytes. A word is taken whole or not at all: of another fleet, another version, cut
 * off, too long or with bytes changed in its check it is none. The check is no seal: it finds chance, not malice.
 */
final class Words {
    static final byte TAG = 'A';
    static final int MOST = 256;
    private static final int MOST_WHY = 160;
    private static final byte VERSION = 1;
    /** Tag, version, fleet, kind; behind all of it the check. */
    private static final int HEAD = 1 + 1 + 4 + 1, CHECK = 4;

    private final int fleet;
    private final int voters;

    /** @param fleet the same at all sidecars that agree with each other, another one at those that do not */
    Words(int fleet, int voters) {
        this.fleet = fleet;
        this.voters = voters;
    }

    /** Whether it is for this package, by its first byte. */
    static boolean isWord(byte[] message) {
        return message.length > 0 && message[0] == TAG;
    }

    byte[] bytes(Word word) {
        ByteBuffer b = ByteBuffer.allocate(MOST).put(TAG).put(VERSION).putInt(fleet);
        if (word instanceof Word.Prepare w) {
            b.put((byte) 1).putLong(w.era()).putLong(w.ballot());
        } else if (word instanceof Word.Promise w) {
            put(
                            put(b.put((byte) 2).putLong(w.era()).putLong(w.ballot()), w.lives())
                                    .putLong(w.acceptedBallot()),
                            w.accepted())
                    .put(flag(w.known()));
        } else if (word instanceof Word.Accept w) {
            put(b.put((byte) 3).putLong(w.era()).putLong(w.ballot()), w.stage());
        } else if (word instanceof Word.Accepted w) {
            put(b.put((byte) 4).putLong(w.era()).putLong(w.ballot()).putLong(w.index()), w.lives());
        } else if (word instanceof Word.Refused w) {
            b.put((byte) 5).putLong(w.era()).putLong(w.ballot()).putLong(w.promised());
        } else if (word instanceof Word.Chosen w) {
            put(b.put((byte) 6).putLong(w.era()).putLong(w.ballot()), w.stage());
        } else if (word instanceof Word.Taken w) {
            b.put((byte) 7).putLong(w.era()).putLong(w.index());
        } else if (word instanceof Word.Ask w) {
            b.put((byte) 8).putInt(w.nonce());
        } else if (word instanceof Word.Answer w) {
            put(b.put((byte) 9).putLong(w.era()).putInt(w.nonce()).putLong(w.acceptedBallot()), w.accepted())
                    .put(flag(w.known()));
        } else if (word instanceof Word.Back w) {
            b.put((byte) 10).putInt(w.nonce());
        } else if (word instanceof Word.Seen w) {
            b.put((byte) 11).putInt(w.nonce()).putInt(w.count());
        } else if (word instanceof Word.Blank w) {
            b.put((byte) 12).putInt(w.nonce()).putInt(w.own());
        } else if (word instanceof Word.Rejoin w) {
            put(b.put((byte) 13), w.life());
        } else if (word instanceof Word.State w) {
            put(
                            put(put(b.put((byte) 14).putLong(w.era()), w.of()), w.lives())
                                    .putLong(w.promised())
                                    .putLong(w.acceptedBallot()),
                            w.accepted())
                    .put(flag(w.known()));
        } else if (word instanceof Word.Together w) {
            w.nonces().forEach(b.put((byte) 15)::putInt);
        } else if (word instanceof Word.Agreed w) {
            w.nonces().forEach(b.put((byte) 16)::putInt);
        } else if (word instanceof Word.Propose w) {
            b.put((byte) 17).putLong(w.version()).put(flag(w.abort()));
        } else if (word instanceof Word.Want w) {
            b.put((byte) 19).putLong(w.version()).putInt(w.piece());
        } else if (word instanceof Word.Piece w) {
            b.put((byte) 20)
                    .putLong(w.version())
                    .putInt(w.piece())
                    .putInt(w.of())
                    .put(w.bytes());
        } else if (word instanceof Word.Unfit w) {
            byte[] why = w.why().getBytes(StandardCharsets.UTF_8);
            b.put((byte) 21).putLong(w.version()).put(why, 0, Math.min(why.length, MOST_WHY));
        } else if (word instanceof Word.Staged w) {
            b.put((byte) 22).putLong(w.era()).putLong(w.version());
        } else if (word instanceof Word.Fit w) {
            b.put((byte) 23).putLong(w.era()).putLong(w.version());
        } else if (word instanceof Word.Begun w) {
            w.nonces().forEach(b.put((byte) 18)::putInt);
        }
        b.putInt(check(b.array(), b.position()));
        return Arrays.copyOf(b.array(), b.position());
    }

    /** Null where it is no word of this fleet. */
    Word read(byte[] message) {
        if (message.length < HEAD + CHECK || message.length > MOST || message[0] != TAG || message[1] != VERSION) {
            return null;
        }
        ByteBuffer b = ByteBuffer.wrap(message, 2, message.length - 2 - CHECK);
        if (b.getInt() != fleet
                || ByteBuffer.wrap(message).getInt(message.length - CHECK) != check(message, message.length - CHECK)) {
            return null;
        }
        try {
            Word word = read(b);
            return b.hasRemaining() ? null : word;
        } catch (BufferUnderflowException e) {
            return null;
        }
    }

    private Word read(ByteBuffer b) {
        return switch (b.get()) {
            case 1 -> new Word.Prepare(b.getLong(), b.getLong());
            case 2 -> new Word.Promise(b.getLong(), b.getLong(), lives(b), b.getLong(), stage(b), b.get() != 0);
            case 3 -> new Word.Accept(b.getLong(), b.getLong(), stage(b));
            case 4 -> new Word.Accepted(b.getLong(), b.getLong(), b.getLong(), lives(b));
            case 5 -> new Word.Refused(b.getLong(), b.getLong(), b.getLong());
            case 6 -> new Word.Chosen(b.getLong(), b.getLong(), stage(b));
            case 7 -> new Word.Taken(b.getLong(), b.getLong());
            case 8 -> new Word.Ask(b.getInt());
            case 9 -> new Word.Answer(b.getLong(), b.getInt(), b.getLong(), stage(b), b.get() != 0);
            case 10 -> new Word.Back(b.getInt());
            case 11 -> new Word.Seen(b.getInt(), b.getInt());
            case 12 -> new Word.Blank(b.getInt(), b.getInt());
            case 13 -> new Word.Rejoin(life(b));
            case 14 -> new Word.State(b.getLong(), life(b), lives(b), b.getLong(), b.getLong(), stage(b), b.get() != 0);
            case 15 -> new Word.Together(nonces(b));
            case 16 -> new Word.Agreed(nonces(b));
            case 17 -> new Word.Propose(b.getLong(), b.get() != 0);
            case 18 -> new Word.Begun(nonces(b));
            case 19 -> new Word.Want(b.getLong(), b.getInt());
            case 20 -> new Word.Piece(b.getLong(), b.getInt(), b.getInt(), rest(b));
            case 21 -> new Word.Unfit(b.getLong(), new String(rest(b), StandardCharsets.UTF_8));
            case 22 -> new Word.Staged(b.getLong(), b.getLong());
            case 23 -> new Word.Fit(b.getLong(), b.getLong());
            default -> null;
        };
    }

    private static byte[] rest(ByteBuffer b) {
        byte[] rest = new byte[b.remaining()];
        b.get(rest);
        return rest;
    }

    private static byte flag(boolean set) {
        return (byte) (set ? 1 : 0);
    }

    private static ByteBuffer put(ByteBuffer b, Life l) {
        return b.putInt(l.count()).putInt(l.nonce());
    }

    private static Life life(ByteBuffer b) {
        return new Life(b.getInt(), b.getInt());
    }

    private static ByteBuffer put(ByteBuffer b, List<Life> lives) {
        lives.forEach(l -> put(b, l));
        return b;
    }

    private List<Life> lives(ByteBuffer b) {
        List<Life> lives = new ArrayList<>(voters);
        for (int i = 0; i < voters; i++) {
            lives.add(life(b));
        }
        return lives;
    }

    private static ByteBuffer put(ByteBuffer b, Stage s) {
        return b.putLong(s.index()).putLong(s.from()).putLong(s.to());
    }

    private static Stage stage(ByteBuffer b) {
        return new Stage(b.getLong(), b.getLong(), b.getLong());
    }

    private List<Integer> nonces(ByteBuffer b) {
        List<Integer> nonces = new ArrayList<>(voters);
        for (int i = 0; i < voters; i++) {
            nonces.add(b.getInt());
        }
        return nonces;
    }

    private static int check(byte[] of, int length) {
        java.util.zip.CRC32C crc = new java.util.zip.CRC32C();
        crc.update(of, 0, length);
        return (int) crc.getValue();
    }
}
