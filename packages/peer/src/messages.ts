import type { InstanceInfo } from "@ospreyreel/types";

/** Version of the protocol between instances; both sides of a link must use the same. */
export const PROTOCOL_VERSION = 1;

/** Info of one instance, with the numbers that order its records. */
export interface MemberRecord {
    readonly info: InstanceInfo;
    /** Orders incarnations of one instance: milliseconds since the epoch at the start, raised if needed. */
    readonly generation: number;
    /** Grows with each change that the whole fleet must learn; a new `configRevision` alone is not one. */
    readonly version: number;
}

/** First message of each side. */
export interface HelloMessage {
    readonly kind: "hello";
    readonly version: number;
    readonly nonce: Uint8Array;
    readonly member: MemberRecord;
}

/** Proof of knowing the shared key. */
export interface ProofMessage {
    readonly kind: "proof";
    readonly mac: Uint8Array;
}

/** Requests the receiver to run a handler. */
export interface RequestMessage {
    readonly kind: "request";
    readonly id: number;
    /** Incarnation that the request is for; any other one rejects it. */
    readonly to: string;
    readonly name: string;
    readonly body: unknown;
}

/** The response to a request. */
export interface ReplyMessage {
    readonly kind: "reply";
    readonly id: number;
    readonly body: unknown;
}

/** The handler of a request failed. */
export interface FailureMessage {
    readonly kind: "failure";
    readonly id: number;
    readonly message: string;
}

/** Suspicion that an instance is dead; it refutes it with a higher version of its record. */
export interface Suspicion {
    readonly instance: string;
    readonly incarnation: string;
    /** Version of the suspected record. */
    readonly version: number;
    /** Whether the instance itself announced that it stops; then there is nothing to refute. */
    readonly stopped: boolean;
}

/** Shows that the sender is alive; all other fields are left out where there is nothing new. */
export interface HeartbeatMessage {
    readonly kind: "heartbeat";
    /** New record of the sender. */
    readonly member?: MemberRecord;
    /** New revision of the sender's document, where nothing else of its record has changed. */
    readonly configRevision?: number;
    /** Records of others that the receiver may not know. */
    readonly records?: readonly MemberRecord[];
    readonly suspicions?: readonly Suspicion[];
}

/** Digests of all records that the sender knows, to find those that differ. */
export interface DigestMessage {
    readonly kind: "digest";
    /** One for each bucket of instance names. */
    readonly buckets: readonly number[];
    /** Whether the receiver should send its own digest where they differ. */
    readonly wantsAnswer: boolean;
}

/** The sender starts no further request on this link, and the receiver must not either. */
export interface DrainMessage {
    readonly kind: "drain";
}

/** All requests that the sender made on this link have their replies. */
export interface DrainedMessage {
    readonly kind: "drained";
}

/** The sender is stopping. */
export interface GoodbyeMessage {
    readonly kind: "goodbye";
}

/** Messages after the hello. */
export type LinkMessage =
    | RequestMessage
    | ReplyMessage
    | FailureMessage
    | HeartbeatMessage
    | DigestMessage
    | DrainMessage
    | DrainedMessage
    | GoodbyeMessage;

/** All messages between instances. */
export type Message = HelloMessage | ProofMessage | LinkMessage;
