/** The operators' document with the data that orders edits and identifies repeated ones. */
export interface VersionedDocument {
    /** Grows by one with each accepted edit; starts at 1. */
    readonly revision: number;
    /** Id that the operator's tool chose for the edit; identifies a repeat. */
    readonly editId: string;
    /** Name that the operator gave; for history only. */
    readonly author: string;
    /** Milliseconds since the epoch; for history only. */
    readonly acceptedAtMs: number;
    /** JSON with comments, as accepted. */
    readonly text: string;
}
