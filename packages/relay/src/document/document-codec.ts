import type { RelayDocument } from "./relay-document.js";

/** Reads desired states as operators write them. */
export abstract class DocumentCodec {
    /** Prefix of the keys in the KV service under which the state stands. */
    abstract readonly prefix: string;

    /** Whether a key holds the state. */
    abstract isDocumentKey(key: string): boolean;

    /** Reads a state; undefined where the bytes hold none. */
    abstract decode(bytes: Uint8Array): RelayDocument | undefined;
}
