import type { TargetReading } from "./target-reading.js";

/** Tokens in one unit of the encoding; the error is below that of what a request holds. */
const TOKENS_PER_UNIT = 64;

/** Milliseconds in one unit of the encoding. */
const MS_PER_UNIT = 16;

/** Largest encoded size of one reading, in bytes. */
const MAX_READING_BYTES = 29;

const START_BYTES = 4;

/** Largest number that one field can have; larger ones are encoded as this. */
const MAX_FIELD = 0xffff_ffff;

const LOW_BITS = 0x7f;
const CONTINUES = 0x80;
const BITS = 7;
const MAX_SHIFT = 28;

/**
 * Encodes readings in about 10 bytes each: the digest of the start, then whole numbers of variable length for the age, running and queued
 * requests, used tokens, and the capacity plus 1, which is 0 where it is that of the reading before.
 */
export const encodeReadings = (readings: readonly TargetReading[]): Buffer => {
    const bytes = Buffer.allocUnsafe(readings.length * MAX_READING_BYTES);
    let at = 0;
    let capacityBefore = -1;
    const write = (value: number): void => {
        let left = Math.min(MAX_FIELD, Math.max(0, Math.round(value)));
        while (left > LOW_BITS) {
            bytes[at++] = (left & LOW_BITS) | CONTINUES;
            left = Math.floor(left / CONTINUES);
        }
        bytes[at++] = left;
    };
    for (const { start, ageMs, running, queued, usedTokens, capacityTokens } of readings) {
        at = bytes.writeUInt32BE(start, at);
        write(Math.ceil(ageMs / MS_PER_UNIT));
        write(running);
        write(queued);
        write(usedTokens / TOKENS_PER_UNIT);
        const capacity = Math.round(capacityTokens / TOKENS_PER_UNIT);
        write(capacity === capacityBefore ? 0 : capacity + 1);
        capacityBefore = capacity;
    }
    return bytes.subarray(0, at);
};

/** Decodes readings; returns those before the first byte that is not valid. */
export const decodeReadings = (bytes: Uint8Array): readonly TargetReading[] => {
    const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
    const readings: TargetReading[] = [];
    let at = 0;
    let capacityBefore = 0;
    const read = (): number => {
        let value = 0;
        for (let shift = 0; shift <= MAX_SHIFT; shift += BITS) {
            const byte = bytes[at++] ?? 0;
            value += (byte & LOW_BITS) * 2 ** shift;
            if (byte < CONTINUES) {
                return value;
            }
        }
        return Number.NaN;
    };
    while (at + START_BYTES < bytes.length) {
        const start = view.getUint32(at);
        at += START_BYTES;
        const [age, running, queued, used, capacityField] = [read(), read(), read(), read(), read()] as const;
        if (at > bytes.length || Number.isNaN(age + running + queued + used + capacityField)) {
            break;
        }
        const capacity = capacityField === 0 ? capacityBefore : capacityField - 1;
        capacityBefore = capacity;
        readings.push({
            start,
            ageMs: age * MS_PER_UNIT,
            running,
            queued,
            usedTokens: used * TOKENS_PER_UNIT,
            capacityTokens: capacity * TOKENS_PER_UNIT,
        });
    }
    return readings;
};
