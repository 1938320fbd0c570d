import type { Target } from "./target.js";

/** Reads what targets say of themselves in the KV service. */
export abstract class TargetCodec {
    /** Prefix of the keys under which targets announce themselves. */
    abstract readonly prefix: string;

    /** Id of the target that a key belongs to; undefined where it is no target's. */
    abstract getTargetId(key: string): string | undefined;

    /** Reads an announcement; undefined where it names no target to use. */
    abstract decode(id: string, bytes: Uint8Array): Target | undefined;
}
