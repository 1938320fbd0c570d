import { Encoder } from "cbor-x";
import type { JournalBatch } from "./journal-entry.js";

// No shared record definitions: each value can be decoded without any other.
const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });

// A batch repeats a few record shapes many times; each value contains their definitions once.
const batchEncoder = new Encoder({ useRecords: true });

/** Encodes a journal batch for the key-value service. */
export const encodeBatch = (batch: JournalBatch): Uint8Array => batchEncoder.encode(batch);

/** Decodes a journal batch; only this project writes under its prefix. */
export const decodeBatch = (bytes: Uint8Array): JournalBatch => batchEncoder.decode(bytes) as JournalBatch;

/** Encodes a record for the key-value service. */
export const encodeRecord = (value: unknown): Uint8Array => encoder.encode(value);

/** Decodes a record of the key-value service; only this project writes under its prefix. */
export const decodeRecord = <T>(bytes: Uint8Array): T => encoder.decode(bytes) as T;
