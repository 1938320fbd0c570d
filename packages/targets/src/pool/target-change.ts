/** Kind of a target's change; after `free` a waiting request may get a target. */
export type TargetChangeKind = "free" | "updated" | "leaving" | "ejected";

/** One change in a pool; `target` is empty where the whole pool changed. */
export interface TargetChange {
    readonly kind: TargetChangeKind;
    readonly target: string;
}

/** Outcome of a request; `abandoned` does not affect the target's health. */
export type TargetOutcome = "served" | "failed" | "abandoned";
