import type { RelayDocument } from "./relay-document.js";

/** Decodes the operators' desired states. */
export abstract class DocumentCodec {
    /** Prefix of the keys in the KV service under which the state is stored. */
    abstract readonly prefix: string;

    /** Whether a key holds the state. */
    abstract isDocumentKey(key: string): boolean;

    /** Availability zone to whose targets nothing is to be sent while a key exists; undefined where the key asks for no such thing. */
    abstract getEvacuatedZone(key: string): string | undefined;

    /** Decodes a state; undefined where the bytes hold none. */
    abstract decode(bytes: Uint8Array): RelayDocument | undefined;
}
