import { createHash, createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { AuthError, FrameError, peerUnavailable, VersionError } from "./errors.js";
import type { FrameChannel } from "./frame-channel.js";
import { decodeMessage, encodeMessage, isCompleteHello } from "./message-codec.js";
import { type HelloMessage, type MemberRecord, type Message, PROTOCOL_VERSION } from "./messages.js";

/** Largest frame that an unauthenticated peer may send, in bytes. */
export const HELLO_MAX_BYTES = 4_096;

const NONCE_BYTES = 32;

/** Options of {@link handshake}. */
export interface HandshakeOptions {
    readonly channel: FrameChannel;
    /** Whether this side opened the connection. */
    readonly dialled: boolean;
    readonly self: MemberRecord;
    readonly sharedKey: string;
    /** Timeout of the whole handshake, in milliseconds. */
    readonly deadlineMs: number;
    /** Protocol version to use; the current one by default. */
    readonly version?: number;
}

/**
 * Exchanges hellos and proofs and returns the peer's record.
 * Throws AuthError, VersionError, FrameError or `peerUnavailable`; the caller closes the channel.
 */
export const handshake = async (opts: HandshakeOptions): Promise<MemberRecord> => {
    const deadline = setTimeout(() => opts.channel.destroy(), opts.deadlineMs);
    try {
        return await exchangeHellos(opts);
    }
    finally {
        clearTimeout(deadline);
    }
};

const exchangeHellos = async (opts: HandshakeOptions): Promise<MemberRecord> => {
    const { channel, dialled, self, version = PROTOCOL_VERSION } = opts;
    const own = encodeMessage({ kind: "hello", version, nonce: randomBytes(NONCE_BYTES), member: self });
    channel.send(own);
    const received = await readFrame(channel);
    const hello = readHello(received, version);
    if (hello.member.info.incarnation === self.info.incarnation) {
        throw peerUnavailable("connected to itself");
    }
    const hellos = dialled ? [own, received] : [received, own];
    const proofOf = (role: ProofRole): Buffer => createProof(opts.sharedKey, role, hellos);
    // The side that dialled sends its proof first, so that an unauthenticated peer gets no proof to guess keys from.
    if (dialled) {
        channel.send(encodeMessage({ kind: "proof", mac: proofOf("dialler") }));
        verifyProof(decodeMessage(await readFrame(channel)), proofOf("acceptor"));
    }
    else {
        verifyProof(decodeMessage(await readFrame(channel)), proofOf("dialler"));
        channel.send(encodeMessage({ kind: "proof", mac: proofOf("acceptor") }));
    }
    return hello.member;
};

const readFrame = async (channel: FrameChannel): Promise<Buffer> => {
    const next = await channel.frames.next();
    if (next.done === true) {
        throw peerUnavailable("link closed during the hello");
    }
    return next.value;
};

const readHello = (body: Buffer, version: number): HelloMessage => {
    const hello = decodeMessage(body);
    if (hello.kind !== "hello") {
        throw new FrameError("the first message must be a hello");
    }
    if (hello.version !== version) {
        throw new VersionError(`peer uses protocol version ${hello.version}, this instance ${version}`);
    }
    if (!isCompleteHello(hello)) {
        throw new FrameError("malformed message: hello");
    }
    return hello;
};

/** Role of a side; part of its proof, so that a proof cannot be replayed to its sender. */
type ProofRole = "dialler" | "acceptor";

const createProof = (key: string, role: ProofRole, hellos: readonly Buffer[]): Buffer => {
    const mac = createHmac("sha256", key).update(role);
    for (const hello of hellos) {
        mac.update(createHash("sha256").update(hello).digest());
    }
    return mac.digest();
};

const verifyProof = (message: Message, expected: Buffer): void => {
    if (message.kind !== "proof") {
        throw new FrameError("a proof must follow the hello");
    }
    if (message.mac.length !== expected.length || !timingSafeEqual(message.mac, expected)) {
        throw new AuthError("the peer does not know the shared key");
    }
};
