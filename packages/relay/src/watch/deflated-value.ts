import { constants, deflateRawSync, inflateRawSync } from "node:zlib";

/** Size from which values are compressed for other instances, in bytes; smaller ones fit into a few packets. */
const MIN_DEFLATED_BYTES = 4_096;

/** Maximum size of a value after decompression, in bytes. */
const MAX_VALUE_BYTES = 16 * 1_024 * 1_024;

/** A value as it is sent to another instance. */
export interface SentValue {
    readonly value: Uint8Array;
    /** Whether the value is compressed; undefined where it is not. */
    readonly isDeflated?: boolean;
}

const deflated = new WeakMap<Uint8Array, Uint8Array>();

/** Compresses a large value if the other instance accepts that; each value once, since many instances request it. */
export const deflateValue = (value: Uint8Array, acceptsDeflate = false): SentValue => {
    if (!acceptsDeflate || value.length < MIN_DEFLATED_BYTES) {
        return { value };
    }
    const known = deflated.get(value) ?? deflateRawSync(value, { level: constants.Z_BEST_SPEED });
    deflated.set(value, known);
    return { value: known, isDeflated: true };
};

/** Returns the value that was sent; throws if it is not compressed correctly. */
export const inflateValue = ({ value, isDeflated = false }: SentValue): Uint8Array =>
    isDeflated ? inflateRawSync(value, { maxOutputLength: MAX_VALUE_BYTES }) : value;
