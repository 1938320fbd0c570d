import type { Address, InstanceInfo } from "@ospreyreel/types";
import { Encoder, setSizeLimits } from "cbor-x";
import { FrameError } from "./errors.js";
import type { MemberRecord, Message, Suspicion } from "./messages.js";

const DEFAULT_SIZE_LIMITS = { maxArraySize: 112_810_000, maxMapSize: 16_810_000, maxObjectSize: 16_710_000 };

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

type Fields = Readonly<Record<string, unknown>>;

const isFields = (value: unknown): value is Fields =>
    typeof value === "object" && value !== null && !Array.isArray(value) && !(value instanceof Uint8Array);
const isText = (value: unknown): value is string => typeof value === "string";
const isCount = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0;
const isBytes = (value: unknown): value is Uint8Array => value instanceof Uint8Array;

const isAddress = (value: unknown): value is Address => isFields(value) && isText(value.host) && isCount(value.port);

const isInfo = (value: unknown): value is InstanceInfo =>
    isFields(value)
    && isText(value.instance)
    && isText(value.incarnation)
    && isText(value.availabilityZone)
    && isText(value.region)
    && isAddress(value.caller)
    && isAddress(value.peer)
    && (value.state === "live" || value.state === "leaving")
    && isCount(value.configRevision);

const isMember = (value: unknown): value is MemberRecord =>
    isFields(value) && isInfo(value.info) && isCount(value.generation) && isCount(value.version);

const isFlag = (value: unknown): value is boolean => typeof value === "boolean";

const isSuspicion = (value: unknown): value is Suspicion =>
    isFields(value)
    && isText(value.instance)
    && isText(value.incarnation)
    && isCount(value.version)
    && isFlag(value.stopped);

const isOptional = (value: unknown, check: (value: unknown) => boolean): boolean => value === undefined || check(value);

const isListOf = (check: (value: unknown) => boolean) => (value: unknown): boolean =>
    Array.isArray(value) && value.every(check);

const always = (): boolean => true;

const checks: Readonly<Record<Message["kind"], (fields: Fields) => boolean>> = {
    // Another version may have other fields, so these are checked only once the version is known to match.
    hello: fields => isCount(fields.version),
    proof: fields => isBytes(fields.mac),
    request: fields => isCount(fields.id) && isText(fields.to) && isText(fields.name),
    reply: fields => isCount(fields.id),
    failure: fields => isCount(fields.id) && isText(fields.message),
    heartbeat: fields =>
        isOptional(fields.member, isMember)
        && isOptional(fields.configRevision, isCount)
        && isOptional(fields.records, isListOf(isMember))
        && isOptional(fields.suspicions, isListOf(isSuspicion)),
    digest: fields => isListOf(isCount)(fields.buckets) && isFlag(fields.wantsAnswer),
    drain: always,
    drained: always,
    goodbye: always,
};

/** Whether the fields of a hello of this protocol version are complete. */
export const isCompleteHello = (hello: { readonly nonce?: unknown; readonly member?: unknown; }): boolean =>
    isBytes(hello.nonce) && isMember(hello.member);

/** Message kinds by their numbers on the wire; numbers keep the many empty heartbeats small. */
const KINDS: readonly Message["kind"][] = [
    "hello",
    "proof",
    "request",
    "reply",
    "failure",
    "heartbeat",
    "digest",
    "drain",
    "drained",
    "goodbye",
];

/** Encodes a message as a frame body. */
export const encodeMessage = (message: Message): Buffer =>
    codec.encode({ ...message, kind: KINDS.indexOf(message.kind) });

/** Decodes a frame body; throws FrameError on anything that is not a message. */
export const decodeMessage = (body: Buffer): Message => {
    const value = decodeBounded(body);
    const kind = isFields(value) && isCount(value.kind) ? KINDS[value.kind] : undefined;
    if (!isFields(value) || kind === undefined) {
        throw new FrameError("frame has no known message");
    }
    if (!checks[kind](value)) {
        throw new FrameError(`malformed message: ${kind}`);
    }
    return { ...value, kind } as unknown as Message;
};

/** Each element has at least one byte, so a count above the body's size is invalid and must not allocate memory. */
const decodeBounded = (body: Buffer): unknown => {
    setSizeLimits({ maxArraySize: body.length, maxMapSize: body.length, maxObjectSize: body.length });
    try {
        return codec.decode(body);
    }
    catch (cause) {
        throw new FrameError("frame is not CBOR", { cause });
    }
    finally {
        // The limits are shared by all users of the library in this process.
        setSizeLimits(DEFAULT_SIZE_LIMITS);
    }
};
