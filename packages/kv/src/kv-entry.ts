/** One key with its value. */
export interface KvEntry {
    readonly key: string;
    readonly value: Uint8Array;
    /** Revision of the service at the last change of this key. */
    readonly modRevision: number;
}
