package loadbalancer.consensus;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Encodes messages as datagrams of at most {@link #MAX_BYTES} bytes: tag, format version, register id, kind, fields,
 * CRC-32C. A datagram of another register or format version, or with a wrong length or checksum, is not decoded. The
 * checksum detects accidental corruption, not attacks.
 */
final class MessageCodec {
    static final byte TAG = 'A';
    static final int MAX_BYTES = 256;

    private static final byte FORMAT_VERSION = 1;
    private static final int REGISTER_ID_OFFSET = 2;
    private static final int HEADER_BYTES = REGISTER_ID_OFFSET + Integer.BYTES + 1;
    private static final int CHECKSUM_BYTES = Integer.BYTES;
    private static final int MAX_REASON_BYTES = 160;

    // Message kinds. A number is never reused.
    private static final byte PREPARE = 1;
    private static final byte PROMISE = 2;
    private static final byte ACCEPT = 3;
    private static final byte ACCEPTED = 4;
    private static final byte REJECTED = 5;
    private static final byte CHOSEN = 6;
    private static final byte ADOPTED = 7;
    private static final byte LEASE_REQUEST = 8;
    private static final byte LEASE_REPLY = 9;
    private static final byte RECOVERY_REQUEST = 10;
    private static final byte KNOWN_INCARNATION = 11;
    private static final byte NO_STATE = 12;
    private static final byte REJOIN = 13;
    private static final byte VOTER_STATE = 14;
    private static final byte BOOTSTRAP = 15;
    private static final byte BOOTSTRAP_ACK = 16;
    private static final byte PROPOSE = 17;
    private static final byte BOOTSTRAPPED = 18;
    private static final byte CHUNK_REQUEST = 19;
    private static final byte CHUNK = 20;
    private static final byte INVALID = 21;
    private static final byte VALIDATE = 22;
    private static final byte VALID = 23;
    private static final byte SUBSCRIBER_LEASE_REQUEST = 24;
    private static final byte SUBSCRIBER_LEASE = 25;
    private static final byte STAGE_CHANGED = 26;

    private final int registerId;
    private final int voters;

    /** @param registerId the same at all processes of a group, different for other groups */
    MessageCodec(int registerId, int voters) {
        this.registerId = registerId;
        this.voters = voters;
    }

    /** Whether a datagram's first byte marks it as a message of this package. */
    static boolean isMessage(byte[] datagram) {
        return datagram.length > 0 && datagram[0] == TAG;
    }

    /** Returns the register id in a datagram's header, which is not verified; 0 if the datagram is too short. */
    static int registerIdOf(byte[] datagram) {
        return datagram.length < HEADER_BYTES ? 0 : ByteBuffer.wrap(datagram).getInt(REGISTER_ID_OFFSET);
    }

    /** Encodes a message as a datagram. */
    byte[] encode(Message message) {
        ByteBuffer buffer =
                ByteBuffer.allocate(MAX_BYTES).put(TAG).put(FORMAT_VERSION).putInt(registerId);
        boolean encoded = putBallotMessage(buffer, message)
                || putContentMessage(buffer, message)
                || putLeaseMessage(buffer, message)
                || putRecoveryMessage(buffer, message);
        if (!encoded) {
            throw new IllegalArgumentException("no encoding exists for the message " + message);
        }
        buffer.putInt(checksum(buffer.array(), buffer.position()));
        return Arrays.copyOf(buffer.array(), buffer.position());
    }

    private static boolean putBallotMessage(ByteBuffer buffer, Message message) {
        if (message instanceof Message.Prepare prepare) {
            buffer.put(PREPARE).putLong(prepare.era()).putLong(prepare.ballot());
        } else if (message instanceof Message.Promise promise) {
            putPromise(buffer, promise);
        } else if (message instanceof Message.Accept accept) {
            buffer.put(ACCEPT).putLong(accept.era()).putLong(accept.ballot());
            putStage(buffer, accept.stage());
        } else if (message instanceof Message.Accepted accepted) {
            buffer.put(ACCEPTED).putLong(accepted.era()).putLong(accepted.ballot());
            buffer.putLong(accepted.index());
            putIncarnations(buffer, accepted.incarnations());
        } else if (message instanceof Message.Rejected rejected) {
            buffer.put(REJECTED).putLong(rejected.era()).putLong(rejected.ballot());
            buffer.putLong(rejected.promisedBallot());
        } else if (message instanceof Message.Chosen chosen) {
            buffer.put(CHOSEN).putLong(chosen.era()).putLong(chosen.ballot());
            putStage(buffer, chosen.stage());
        } else if (message instanceof Message.Adopted adopted) {
            buffer.put(ADOPTED).putLong(adopted.era()).putLong(adopted.index());
        } else if (message instanceof Message.Propose propose) {
            buffer.put(PROPOSE).putLong(propose.version());
            putBoolean(buffer, propose.abort());
        } else {
            return false;
        }
        return true;
    }

    private static boolean putContentMessage(ByteBuffer buffer, Message message) {
        if (message instanceof Message.ChunkRequest request) {
            buffer.put(CHUNK_REQUEST).putLong(request.version()).putInt(request.firstChunk());
        } else if (message instanceof Message.Chunk chunk) {
            buffer.put(CHUNK).putLong(chunk.version()).putInt(chunk.chunkIndex());
            buffer.putInt(chunk.contentBytes()).put(chunk.data());
        } else if (message instanceof Message.Invalid invalid) {
            byte[] reason = invalid.reason().getBytes(StandardCharsets.UTF_8);
            buffer.put(INVALID).putLong(invalid.version());
            buffer.put(reason, 0, Math.min(reason.length, MAX_REASON_BYTES));
        } else if (message instanceof Message.Validate validate) {
            buffer.put(VALIDATE).putLong(validate.era()).putLong(validate.version());
        } else if (message instanceof Message.Valid valid) {
            buffer.put(VALID).putLong(valid.era()).putLong(valid.version());
        } else {
            return false;
        }
        return true;
    }

    private static boolean putLeaseMessage(ByteBuffer buffer, Message message) {
        if (message instanceof Message.LeaseRequest request) {
            buffer.put(LEASE_REQUEST).putInt(request.nonce());
        } else if (message instanceof Message.LeaseReply reply) {
            buffer.put(LEASE_REPLY).putLong(reply.era()).putInt(reply.nonce());
            buffer.putLong(reply.acceptedBallot());
            putStage(buffer, reply.acceptedStage());
            putBoolean(buffer, reply.chosen());
        } else if (message instanceof Message.SubscriberLeaseRequest request) {
            buffer.put(SUBSCRIBER_LEASE_REQUEST).putInt(request.processId()).putInt(request.nonce());
            buffer.putLong(request.era()).putLong(request.index());
        } else if (message instanceof Message.SubscriberLease lease) {
            buffer.put(SUBSCRIBER_LEASE).putLong(lease.era()).putInt(lease.nonce());
            putStage(buffer, lease.stage());
            buffer.putLong(lease.validMicros());
        } else if (message instanceof Message.StageChanged changed) {
            buffer.put(STAGE_CHANGED).putLong(changed.era()).putLong(changed.index());
        } else {
            return false;
        }
        return true;
    }

    private static boolean putRecoveryMessage(ByteBuffer buffer, Message message) {
        if (message instanceof Message.RecoveryRequest request) {
            buffer.put(RECOVERY_REQUEST).putInt(request.nonce());
        } else if (message instanceof Message.KnownIncarnation known) {
            buffer.put(KNOWN_INCARNATION).putInt(known.nonce()).putInt(known.count());
        } else if (message instanceof Message.NoState noState) {
            buffer.put(NO_STATE).putInt(noState.nonce()).putInt(noState.responderNonce());
        } else if (message instanceof Message.Rejoin rejoin) {
            putIncarnation(buffer.put(REJOIN), rejoin.incarnation());
        } else if (message instanceof Message.VoterState state) {
            putVoterState(buffer, state);
        } else if (message instanceof Message.Bootstrap bootstrap) {
            bootstrap.nonces().forEach(buffer.put(BOOTSTRAP)::putInt);
        } else if (message instanceof Message.BootstrapAck ack) {
            ack.nonces().forEach(buffer.put(BOOTSTRAP_ACK)::putInt);
        } else if (message instanceof Message.Bootstrapped bootstrapped) {
            bootstrapped.nonces().forEach(buffer.put(BOOTSTRAPPED)::putInt);
        } else {
            return false;
        }
        return true;
    }

    private static void putPromise(ByteBuffer buffer, Message.Promise promise) {
        buffer.put(PROMISE).putLong(promise.era()).putLong(promise.ballot());
        putIncarnations(buffer, promise.incarnations());
        buffer.putLong(promise.acceptedBallot());
        putStage(buffer, promise.acceptedStage());
        putBoolean(buffer, promise.chosen());
    }

    private static void putVoterState(ByteBuffer buffer, Message.VoterState state) {
        buffer.put(VOTER_STATE).putLong(state.era());
        putIncarnation(buffer, state.recipient());
        putIncarnations(buffer, state.incarnations());
        buffer.putLong(state.promisedBallot()).putLong(state.acceptedBallot());
        putStage(buffer, state.acceptedStage());
        putBoolean(buffer, state.chosen());
    }

    /** Decodes a datagram; empty if it is malformed or of another register. */
    Optional<Message> decode(byte[] datagram) {
        int checksumOffset = datagram.length - CHECKSUM_BYTES;
        boolean validFrame = checksumOffset >= HEADER_BYTES
                && datagram.length <= MAX_BYTES
                && datagram[0] == TAG
                && datagram[1] == FORMAT_VERSION
                && registerIdOf(datagram) == registerId
                && ByteBuffer.wrap(datagram).getInt(checksumOffset) == checksum(datagram, checksumOffset);
        if (!validFrame) {
            return Optional.empty();
        }
        int kindOffset = HEADER_BYTES - 1;
        ByteBuffer buffer = ByteBuffer.wrap(datagram, kindOffset, checksumOffset - kindOffset);
        try {
            Message message = read(buffer);
            return buffer.hasRemaining() ? Optional.empty() : Optional.ofNullable(message);
        } catch (BufferUnderflowException exception) {
            return Optional.empty();
        }
    }

    /** Reads the kind and fields of a message; null if the kind is unknown. */
    private Message read(ByteBuffer in) {
        return switch (in.get()) {
            case PREPARE -> new Message.Prepare(in.getLong(), in.getLong());
            case PROMISE -> new Message.Promise(
                    in.getLong(), in.getLong(), readIncarnations(in), in.getLong(), readStage(in), readBoolean(in));
            case ACCEPT -> new Message.Accept(in.getLong(), in.getLong(), readStage(in));
            case ACCEPTED -> new Message.Accepted(in.getLong(), in.getLong(), in.getLong(), readIncarnations(in));
            case REJECTED -> new Message.Rejected(in.getLong(), in.getLong(), in.getLong());
            case CHOSEN -> new Message.Chosen(in.getLong(), in.getLong(), readStage(in));
            case ADOPTED -> new Message.Adopted(in.getLong(), in.getLong());
            case LEASE_REQUEST -> new Message.LeaseRequest(in.getInt());
            case LEASE_REPLY -> new Message.LeaseReply(
                    in.getLong(), in.getInt(), in.getLong(), readStage(in), readBoolean(in));
            case RECOVERY_REQUEST -> new Message.RecoveryRequest(in.getInt());
            case KNOWN_INCARNATION -> new Message.KnownIncarnation(in.getInt(), in.getInt());
            case NO_STATE -> new Message.NoState(in.getInt(), in.getInt());
            case REJOIN -> new Message.Rejoin(readIncarnation(in));
            case VOTER_STATE -> new Message.VoterState(
                    in.getLong(),
                    readIncarnation(in),
                    readIncarnations(in),
                    in.getLong(),
                    in.getLong(),
                    readStage(in),
                    readBoolean(in));
            case BOOTSTRAP -> new Message.Bootstrap(readNonces(in));
            case BOOTSTRAP_ACK -> new Message.BootstrapAck(readNonces(in));
            case PROPOSE -> new Message.Propose(in.getLong(), readBoolean(in));
            case BOOTSTRAPPED -> new Message.Bootstrapped(readNonces(in));
            case CHUNK_REQUEST -> new Message.ChunkRequest(in.getLong(), in.getInt());
            case CHUNK -> new Message.Chunk(in.getLong(), in.getInt(), in.getInt(), readRemainingBytes(in));
            case INVALID -> new Message.Invalid(
                    in.getLong(), new String(readRemainingBytes(in), StandardCharsets.UTF_8));
            case VALIDATE -> new Message.Validate(in.getLong(), in.getLong());
            case VALID -> new Message.Valid(in.getLong(), in.getLong());
            case SUBSCRIBER_LEASE_REQUEST -> new Message.SubscriberLeaseRequest(
                    in.getInt(), in.getInt(), in.getLong(), in.getLong());
            case SUBSCRIBER_LEASE -> new Message.SubscriberLease(
                    in.getLong(), in.getInt(), readStage(in), in.getLong());
            case STAGE_CHANGED -> new Message.StageChanged(in.getLong(), in.getLong());
            default -> null;
        };
    }

    private static void putBoolean(ByteBuffer buffer, boolean value) {
        buffer.put((byte) (value ? 1 : 0));
    }

    private static boolean readBoolean(ByteBuffer buffer) {
        return buffer.get() != 0;
    }

    private static void putIncarnation(ByteBuffer buffer, Incarnation incarnation) {
        buffer.putInt(incarnation.count()).putInt(incarnation.nonce());
    }

    private static Incarnation readIncarnation(ByteBuffer buffer) {
        return new Incarnation(buffer.getInt(), buffer.getInt());
    }

    private static void putIncarnations(ByteBuffer buffer, List<Incarnation> incarnations) {
        incarnations.forEach(incarnation -> putIncarnation(buffer, incarnation));
    }

    private List<Incarnation> readIncarnations(ByteBuffer buffer) {
        List<Incarnation> incarnations = new ArrayList<>(voters);
        for (int voter = 0; voter < voters; voter++) {
            incarnations.add(readIncarnation(buffer));
        }
        return incarnations;
    }

    private static void putStage(ByteBuffer buffer, Stage stage) {
        buffer.putLong(stage.index()).putLong(stage.oldVersion()).putLong(stage.newVersion());
    }

    private static Stage readStage(ByteBuffer buffer) {
        return new Stage(buffer.getLong(), buffer.getLong(), buffer.getLong());
    }

    private List<Integer> readNonces(ByteBuffer buffer) {
        List<Integer> nonces = new ArrayList<>(voters);
        for (int voter = 0; voter < voters; voter++) {
            nonces.add(buffer.getInt());
        }
        return nonces;
    }

    private static byte[] readRemainingBytes(ByteBuffer buffer) {
        byte[] rest = new byte[buffer.remaining()];
        buffer.get(rest);
        return rest;
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }
}
