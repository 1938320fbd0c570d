/** What a target reports of its load. */
export interface TargetReport {
    /** Requests that it works on. */
    readonly running: number;
    /** Requests that wait at it. */
    readonly queued: number;
    /** Tokens in its memory that cannot be evicted. */
    readonly usedTokens: number;
    /** Tokens that its memory can hold. */
    readonly capacityTokens: number;
}
