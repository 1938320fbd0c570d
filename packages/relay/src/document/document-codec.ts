import type { RelayDocument } from "./relay-document.js";

/** Decodes the operators' desired states. */
export abstract class DocumentCodec {
    /** Prefix of the keys in the KV service under which the state is stored. */
    abstract readonly prefix: string;

    /** Whether a key holds the state. */
    abstract isDocumentKey(key: string): boolean;

    /** Decodes a state; undefined where the bytes hold none. */
    abstract decode(bytes: Uint8Array): RelayDocument | undefined;
}
