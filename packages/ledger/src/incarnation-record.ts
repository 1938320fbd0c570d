/** Record of one incarnation in the key-value service. */
export interface IncarnationRecord {
    readonly instance: string;
    /** Incarnation that holds the copy; undefined without one, so that no instance can close this incarnation. */
    readonly copyHolder: string | undefined;
    /** Increases with each change of copy holder. */
    readonly epoch: number;
    readonly state: "open" | "closing";
}
