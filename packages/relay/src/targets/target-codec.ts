import type { Target } from "./target.js";

/** Decodes the announcements of targets in the KV service. */
export abstract class TargetCodec {
    /** Prefix of the keys under which targets announce themselves. */
    abstract readonly prefix: string;

    /** Id of the target that a key belongs to; undefined where the key is not a target's. */
    abstract getTargetId(key: string): string | undefined;

    /** Decodes an announcement; undefined where it describes no usable target. */
    abstract decode(id: string, bytes: Uint8Array): Target | undefined;
}
