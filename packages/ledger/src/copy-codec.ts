import type { Bill, CopyEntry } from "@ospreyreel/types";
import { Encoder } from "cbor-x";

const STREAM_FIELDS = ["target", "targetUrl", "streamId", "fingerprint"];
const INTENT_FIELDS = [
    "id",
    "team",
    "requestKey",
    "budget",
    "offering",
    "targetKind",
    "idempotent",
    "reserved",
    ...STREAM_FIELDS,
];
const BILL_FIELDS = [
    "requestKey",
    "team",
    "budget",
    "offering",
    "promptTokens",
    "completionTokens",
    "incarnation",
    "finishedAtMs",
];

/**
 * Field names in the order in which records are written. They are the same in the whole fleet and are not sent, since
 * an intent and a finish go to the copy holder for each request. A change here is a change of the protocol version.
 */
const structures = [
    ["kind", "intent"],
    INTENT_FIELDS,
    ["kind", "intentId", "budget", "finishSeq", "tokens", "bill"],
    BILL_FIELDS,
    [...BILL_FIELDS, "stream"],
    STREAM_FIELDS,
    ["kind", "shard", "finishSeq"],
];

const encoder = new Encoder({ structures, useRecords: true, maxSharedStructures: structures.length });

/** Orders the fields as in a structure. Fields that it does not name come last and are sent with their names. */
const getOrdered = <T extends object>(value: T, fields: readonly string[]): T => {
    const names = [...fields.filter(name => name in value), ...Object.keys(value)];
    return Object.fromEntries(names.map(name => [name, value[name as keyof T]])) as T;
};

const getOrderedBill = (bill: Bill): Bill => {
    const { stream } = bill;
    const whole = stream === undefined ? bill : { ...bill, stream: getOrdered(stream, STREAM_FIELDS) };
    return getOrdered(whole, [...BILL_FIELDS, "stream"]);
};

const getOrderedEntry = (entry: CopyEntry): CopyEntry => {
    switch (entry.kind) {
        case "intent":
            return { kind: "intent", intent: getOrdered(entry.intent, INTENT_FIELDS) };
        case "finish": {
            const { kind, intentId, budget, finishSeq, tokens, bill } = entry;
            const ordered = bill === undefined ? undefined : getOrderedBill(bill);
            return { kind, intentId, budget, finishSeq, tokens, bill: ordered };
        }
        case "flushed":
            return { kind: "flushed", shard: entry.shard, finishSeq: entry.finishSeq };
    }
};

/** Encodes the entries that a holder sends to its copy holder. */
export const encodeCopyEntries = (entries: readonly CopyEntry[]): Uint8Array =>
    encoder.encode(entries.map(getOrderedEntry));

/** Decodes the entries of a holder. They are not validated, since peers are authenticated members of the fleet. */
export const decodeCopyEntries = (bytes: Uint8Array): readonly CopyEntry[] =>
    encoder.decode(bytes) as readonly CopyEntry[];
